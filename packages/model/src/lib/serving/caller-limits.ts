/** Limits on the connections and requests of callers. */
export interface CallerLimits {
  /** Maximum size of the headers of a request, in bytes. */
  readonly headerBytesMax: number;
  /** Maximum size of the body of a request, in bytes. */
  readonly bodyBytesMax: number;
  /** Longest time in which the headers must arrive, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Time for which a connection is kept open without a request, in milliseconds. */
  readonly idleTimeoutMs: number;
}
