/** The load of an endpoint, which its owner reports together with answers. */
export interface EndpointLoad {
  readonly runningCount: number;
  readonly waitingCount: number;
  /** Current maximum of concurrent requests. */
  readonly limit: number;
  /** Mean run time of a request, in milliseconds; 0 while unknown. */
  readonly serviceMs: number;
  /**
   * Recent mean time to the first token, without time in the queue, in milliseconds; 0: unknown.
   */
  readonly firstTokenMs: number;
  /** Recent mean time between tokens, in milliseconds; 0 while unknown or without tokens. */
  readonly tokenMs: number;
  /** Whether the endpoint is clearly slower than expected, e.g. by another load on its machine. */
  readonly isSlowed: boolean;
}
