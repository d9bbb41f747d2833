/** A record of the platform's log. */
export interface LogRecord {
  readonly offset: number;
  /**
   * Time of the append by the log's clock, as Unix time in milliseconds. State that is folded from the
   * log uses it as its clock, so that all instances compute the same state.
   */
  readonly timeMs: number;
  readonly value: unknown;
}
