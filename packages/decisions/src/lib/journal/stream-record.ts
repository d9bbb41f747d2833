/** A record as read from one stream of the log. */
export interface StreamRecord {
  readonly offset: number;
  /** Time of the append by the log's clock, in milliseconds. */
  readonly timeMs: number;
  readonly value: unknown;
}
