import { createHash } from 'node:crypto';

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (value === null || typeof value !== 'object') return value;
  const entries = Object.entries(value).filter(([, item]) => item !== undefined);
  entries.sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries.map(([key, item]) => [key, sortKeys(item)]));
}

/**
 * Digests a value so that equal values have equal digests, whatever the order of their keys.
 *
 * @param value - a value of JSON's kinds
 * @returns 64 hexadecimal digits (SHA-256)
 */
export function canonicalDigest(value: unknown): string {
  return createHash('sha256')
    .update(JSON.stringify(sortKeys(value)))
    .digest('hex');
}
