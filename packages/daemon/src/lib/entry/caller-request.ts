/** A caller's request to a model or a service, after the checks of the HTTP server. */
export interface CallerRequest {
  readonly method: string;
  /** Path and query to request at the endpoint. */
  readonly path: string;
  /** Headers to send to the endpoint. */
  readonly headers: Readonly<Record<string, string>>;
  /** The whole body, or `undefined` if it follows as a stream. */
  readonly body: Buffer | undefined;
  readonly traceparent: string | undefined;
  readonly idempotencyKey: string | undefined;
  /** Deadline that the caller asked for, in milliseconds from the start of the request. */
  readonly deadlineMs: number | undefined;
  /**
   * How the answer is delivered: in one piece after its end (`whole`), as complete server-sent
   * events (`events`), or in chunks as it arrives (`pipe`).
   */
  readonly deliveryMode: 'whole' | 'events' | 'pipe';
}
