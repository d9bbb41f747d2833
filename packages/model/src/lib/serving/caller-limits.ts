/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytesMax: number;
  readonly bodyBytesMax: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}
