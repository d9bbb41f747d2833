/** What an entry asks the owner of an endpoint to do. */
export interface DispatchParams {
  readonly endpoint: string;
  /** Unique id of this attempt; endpoints echo it. */
  readonly attempt: string;
  readonly caller: string;
  /** The caller's weight against other callers. */
  readonly share: number;
  readonly priority: number;
  /** Time left until it must have started, in milliseconds. */
  readonly startInMs: number;
  /** Longest wait for the head of the answer, in milliseconds. */
  readonly headTimeoutMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array | undefined;
  readonly isBodyStreamed: boolean;
  readonly traceparent: string;
  /** Whether the owner could not be reached and this instance stands in for it. */
  readonly isFallback: boolean;
}
