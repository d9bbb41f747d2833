/** What a worker saw. */
export interface LoadResult {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failures: number;
}
