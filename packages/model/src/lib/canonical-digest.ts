import { createHash } from 'node:crypto';

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (value === null || typeof value !== 'object') return value;
  const entries = Object.entries(value).filter(([, item]) => item !== undefined);
  entries.sort(([left], [right]) => (left < right ? -1 : 1));
  return Object.fromEntries(entries.map(([key, item]) => [key, sortKeys(item)]));
}

/**
 * Computes a digest that is the same for equal values, regardless of the order of their keys. Keys
 * whose value is `undefined` are ignored.
 *
 * @param value - a JSON value
 * @returns SHA-256 in 64 hexadecimal digits
 */
export function canonicalDigest(value: unknown): string {
  return createHash('sha256')
    .update(JSON.stringify(sortKeys(value)))
    .digest('hex');
}
