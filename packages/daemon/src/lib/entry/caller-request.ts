/** A caller's request, read and checked as far as its kind asks. */
export interface CallerRequest {
  readonly method: string;
  /** Path at the endpoint. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** The body in whole, or `undefined` when it follows as a stream. */
  readonly body: Buffer | undefined;
  readonly traceparent: string | undefined;
  readonly idempotencyKey: string | undefined;
  /** The caller's own deadline, in milliseconds, if it gave one. */
  readonly deadlineMs: number | undefined;
  /** How the answer is carried: in whole, as server-sent events, or piped through. */
  readonly carriage: 'whole' | 'events' | 'pipe';
}
