/** Requests that a worker is to send. */
export interface LoadJob {
  readonly origin: string;
  readonly key: string;
  /** Requests under way at once; a count. */
  readonly concurrency: number;
  readonly durationMs: number;
  readonly tokens: number;
  readonly isStreamed: boolean;
}
