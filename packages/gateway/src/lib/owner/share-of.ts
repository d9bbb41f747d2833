import { hashOf } from '@chervilseam/decisions';

/**
 * @param endpoint - identity of an endpoint
 * @param shareCount - shares that the endpoints are divided into
 * @returns the share that the endpoint belongs to
 */
export function shareOf(endpoint: string, shareCount: number): number {
  return hashOf(endpoint) % shareCount;
}
