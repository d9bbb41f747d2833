/** What instances have under way at an endpoint. */
export interface EndpointLoad {
  /** Requests; a count. */
  readonly count: number;
  /** Prompt tokens of those that have not got their first event yet. */
  readonly unreadTokenCount: number;
}
