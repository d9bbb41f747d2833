/** A route: the requests that match it, how they are handled and the services they are sent to. */
export interface RouteSpec {
  readonly name: string;
  /** Value of the `host` header. */
  readonly host: string;
  /** Prefix of the path; starts and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether callers need no API key on it, although the configuration has workspaces. */
  readonly isPublic?: boolean;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Whether answers are event streams. */
  readonly isStream: boolean;
  /** Whether a broken stream may be continued by another endpoint. */
  readonly isResumable: boolean;
  /** Longest time from the arrival of a request to the end of its answer, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * Latency objective: longest time to the answer, or to the first event of a stream, that counts as on
   * time, in milliseconds.
   */
  readonly objectiveMs: number;
  /** Longest time between two events of a stream that counts as on time, in milliseconds. */
  readonly paceMaxMs: number;
  /** Time without an answer or an event after which callers disconnect, in milliseconds. */
  readonly callerPatienceMs: number;
  /**
   * Maximum number of attempts of a request that an endpoint runs or may run; an attempt that certainly
   * did not run does not count.
   */
  readonly attemptCountMax: number;
  /** Priority of the requests; 0 is served first. */
  readonly priority: number;
  /** Services that the requests are distributed over, by weight. */
  readonly targets: readonly { readonly service: string; readonly weight: number }[];
}
