import { createHash } from 'node:crypto';

/** Number of cached hashes at which the cache is cleared. */
const CACHE_COUNT_MAX = 100_000;

const hashes = new Map<string, number>();

/**
 * Hashes a name to the same value on every instance. The same names are hashed frequently, so
 * hashes are cached.
 *
 * @param text - the name
 * @returns an unsigned 32-bit integer
 */
export function hashOf(text: string): number {
  const cached = hashes.get(text);
  if (cached !== undefined) return cached;
  if (hashes.size >= CACHE_COUNT_MAX) hashes.clear();
  const hash = createHash('sha1').update(text).digest().readUInt32BE(0);
  hashes.set(text, hash);
  return hash;
}
