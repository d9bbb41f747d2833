/** Limits on the size and the duration of a caller's request. */
export interface CallerLimits {
  /** Maximum size of the headers of a request. */
  readonly headerBytesMax: number;
  /** Maximum size of the body of a request. */
  readonly bodyBytesMax: number;
  /** Longest time in which the headers must arrive, in milliseconds. */
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}
