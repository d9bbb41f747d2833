/**
 * A request that an entry (the instance that received it from the caller) sends to the owner of an
 * endpoint.
 */
export interface DispatchParams {
  /** Name of the endpoint that the entry chose. */
  readonly endpoint: string;
  /** Unique id of this attempt; endpoints echo it. */
  readonly attempt: string;
  /** Name of the caller; slots are distributed fairly between callers. */
  readonly caller: string;
  /** The caller's weight relative to other callers. */
  readonly share: number;
  /** 0 to 100; higher goes first. */
  readonly priority: number;
  /** Time from the receipt by the owner until its latest start, in milliseconds. */
  readonly startInMs: number;
  /** Timeout until the endpoint sends the head of the answer, in milliseconds. */
  readonly headTimeoutMs: number;
  readonly method: string;
  /** Path at the endpoint. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** The complete body; `undefined` when there is none or it is streamed. */
  readonly body: Uint8Array | undefined;
  /** Whether the body follows on the stream of the dispatch. */
  readonly isBodyStreamed: boolean;
  /** Trace context (W3C header `traceparent`) of the entry's span. */
  readonly traceparent: string;
  /** Whether the entry itself runs the request because the owner is unknown or unreachable. */
  readonly isFallback: boolean;
}
