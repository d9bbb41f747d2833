/** A record of the platform's log. */
export interface LogRecord {
  readonly offset: number;
  /** Time of the append by the log's own clock, in milliseconds since 1970; for people only. */
  readonly timeMs: number;
  readonly value: unknown;
}
