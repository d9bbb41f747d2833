/** Requests that a load worker has to send. */
export interface LoadJob {
  /** Base URL of the daemon or engine. */
  readonly origin: string;
  /** Key that authenticates the caller. */
  readonly key: string;
  /** Number of requests in progress at once. */
  readonly concurrency: number;
  /** Time during which new requests are sent, in milliseconds. */
  readonly durationMs: number;
  /** Number of tokens of each answer. */
  readonly tokens: number;
  readonly isStreamed: boolean;
}
