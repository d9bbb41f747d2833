/** A request as it is sent to an endpoint. */
export interface EndpointRequest {
  /** Scheme, host and port of the endpoint. */
  readonly origin: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** The complete body; streamed bodies are sent by {@link EndpointExchange.write}. */
  readonly body: Uint8Array | undefined;
  /** Whether the body is streamed. */
  readonly isBodyStreamed: boolean;
  /** Longest time from sending until the head of the answer arrives, in milliseconds. */
  readonly headTimeoutMs: number;
}
