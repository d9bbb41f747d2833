/** Requests that instances have in progress at an endpoint. */
export interface EndpointLoad {
  /** Number of requests in progress. */
  readonly count: number;
  /** Total prompt tokens of those requests that have not received their first event yet. */
  readonly unreadTokenCount: number;
  /**
   * Tokens of the prompts and longest outputs of those requests; left out if there are none, and by instances of an
   * earlier version.
   */
  readonly heldTokenCount?: number;
  /**
   * Number of requests in progress by model, which the planner needs; absent in overviews for followers and
   * from instances of an earlier version.
   */
  readonly runs?: Readonly<Record<string, number>>;
}
