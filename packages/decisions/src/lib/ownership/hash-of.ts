import { createHash } from 'node:crypto';

const CACHE_COUNT_MAX = 100_000;

const hashes = new Map<string, number>();

/**
 * Hashes a name the same at every instance. Names come again and again, so their hashes are kept.
 *
 * @param text - the name
 * @returns a whole number of 32 bits
 */
export function hashOf(text: string): number {
  const known = hashes.get(text);
  if (known !== undefined) return known;
  if (hashes.size >= CACHE_COUNT_MAX) hashes.clear();
  const hash = createHash('sha1').update(text).digest().readUInt32BE(0);
  hashes.set(text, hash);
  return hash;
}
