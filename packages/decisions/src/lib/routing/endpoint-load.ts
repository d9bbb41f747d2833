/** An endpoint's load as its owner last told it, along with an answer. */
export interface EndpointLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  readonly limit: number;
  /** Expected wait before a new request starts, in milliseconds. */
  readonly waitMs: number;
  /** Time to the first token of late, without the wait, in milliseconds. */
  readonly firstTokenMs: number;
}
