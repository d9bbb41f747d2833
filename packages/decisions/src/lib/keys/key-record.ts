/** What is remembered of a key. */
export interface KeyRecord {
  readonly key: string;
  /** State as in the chart `key`. */
  readonly state: string;
  readonly digest: string;
  readonly attempt: string;
  readonly dispatcher: string;
  /** Time of the last change by the log's clock, in milliseconds. */
  readonly timeMs: number;
  readonly status: number;
  readonly body: string | undefined;
  /** Attempts that were released: their intents count for nothing, even when they come late. */
  readonly releasedAttempts: readonly string[];
}
