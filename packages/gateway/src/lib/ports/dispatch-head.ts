/** What the headers of a request to an endpoint state. */
export interface DispatchHead {
  /** The caller's headers: names and values alternating. */
  readonly callerHeaders: readonly string[];
  /** Id of the intended endpoint; any other endpoint rejects the request. */
  readonly endpointId: string;
  /** Time until the request's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Priority in the engine's queue, 0 is served first; absent for plain services. */
  readonly urgency?: number;
  /**
   * Present when callers identify themselves with API keys: their key is not sent on. `workspace` is the one that
   * holds the key; absent for a request without a key on a public route.
   */
  readonly access?: { readonly workspace?: string };
  /** Number of the last event that the caller has, when a stream is resumed. */
  readonly lastEvent?: string;
}
