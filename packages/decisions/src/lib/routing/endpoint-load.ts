/** An endpoint's load as its owner last told it, along with an answer. */
export interface EndpointLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  /** Requests that may run side by side now. */
  readonly limit: number;
  /** Mean time that a request runs, in milliseconds; 0 while unknown. */
  readonly serviceMs: number;
  /** Time to the first token of late, without the wait, in milliseconds. */
  readonly firstTokenMs: number;
  /** Time between tokens of late, in milliseconds; 0 for endpoints without tokens. */
  readonly tokenMs: number;
  /** Whether a neighbour or a fault makes the endpoint slower than it should be. */
  readonly isSlowed: boolean;
}
