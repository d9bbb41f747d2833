/** What is sent to an endpoint ahead of a request's body. */
export interface DispatchHead {
  /** The caller's headers: names and values in turn. */
  readonly callerHeaders: readonly string[];
  /** Identity of the endpoint that is meant; any other one refuses. */
  readonly endpointId: string;
  /** Time that is left for the request, in milliseconds. */
  readonly remainingMs: number;
  /** Rank in the engine's queue, 0 first; left out for plain services. */
  readonly urgency?: number;
  /** Number of the last event that the caller has, when a stream goes on. */
  readonly lastEvent?: string;
}
