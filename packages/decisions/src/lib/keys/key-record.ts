/** The state of one idempotency key. */
export interface KeyRecord {
  readonly key: string;
  /** State in the state chart `key`. */
  readonly state: string;
  /** Digest of the request of the last accepted intent. */
  readonly digest: string;
  /** Attempt of the last accepted intent. */
  readonly attempt: string;
  /** Id of the run of the instance that dispatches the attempt. */
  readonly dispatcher: string;
  /** Time of the last change by the log's clock, in milliseconds. */
  readonly timeMs: number;
  /** HTTP status of the recorded answer; 0 while there is none. */
  readonly status: number;
  readonly body: string | undefined;
  /** Released attempts: their intents are ignored, including those that are appended late. */
  readonly releasedAttempts: readonly string[];
}
