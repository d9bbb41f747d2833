import { hashOf } from '@chervilseam/decisions';

/**
 * @param endpoint - identity of an endpoint
 * @param shareCount - number of shares that the endpoints are partitioned into
 * @returns the share that the endpoint belongs to
 */
export function shareOf(endpoint: string, shareCount: number): number {
  return hashOf(endpoint) % shareCount;
}
