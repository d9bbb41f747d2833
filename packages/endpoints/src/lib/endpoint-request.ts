/** A request as it goes to an endpoint. */
export interface EndpointRequest {
  readonly origin: string;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Body in whole; streamed bodies come through {@link EndpointExchange.write}. */
  readonly body: Uint8Array | undefined;
  /** Whether body bytes follow through the exchange. */
  readonly isBodyStreamed: boolean;
  /** Longest wait for the head of the answer, in milliseconds. */
  readonly headTimeoutMs: number;
}
