/** What a load worker measured. */
export interface LoadResult {
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
  /** Median time from a request to the end of its answer, in milliseconds. */
  readonly p50Ms: number;
  /** 99th percentile of the same, in milliseconds. */
  readonly p99Ms: number;
  /** Number of requests without a complete answer of status 200. */
  readonly failures: number;
}
