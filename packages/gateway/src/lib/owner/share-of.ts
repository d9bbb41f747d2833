import { createHash } from 'node:crypto';

const cache = new Map<string, number>();
const CACHE_COUNT_MAX = 10_000;

/**
 * @param endpoint - identity of an endpoint
 * @param shareCount - shares that the endpoints are divided into
 * @returns the share that the endpoint belongs to
 */
export function shareOf(endpoint: string, shareCount: number): number {
  const known = cache.get(endpoint);
  if (known !== undefined) return known % shareCount;
  if (cache.size >= CACHE_COUNT_MAX) cache.clear();
  const hash = createHash('sha1').update(endpoint).digest().readUInt32BE(0);
  cache.set(endpoint, hash);
  return hash % shareCount;
}
