/** A route: which requests it takes, how they may be treated and where they go. */
export interface RouteSpec {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** Whether answers are streams of events. */
  readonly isStream: boolean;
  /** Whether a broken stream may go on at another endpoint. */
  readonly isResumable: boolean;
  /** Longest time that a request may be kept, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event of a stream, that is on time, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest pause between events of a stream that is on time, in milliseconds. */
  readonly paceMaxMs: number;
  /** Time without an answer or an event after which callers leave, in milliseconds. */
  readonly callerPatienceMs: number;
  /** Endpoints that one request may be sent to; a count. */
  readonly attemptCountMax: number;
  /** Rank, 0 first. */
  readonly priority: number;
  /** Services that requests are spread over, by weight. */
  readonly targets: readonly { readonly service: string; readonly weight: number }[];
}
