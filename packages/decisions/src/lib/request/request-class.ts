/** How a request is to be handled, combined from the policies that select it. */
export interface RequestClass {
  /** 0 to 100; higher goes first. */
  readonly priority: number;
  /** Time limit for the first token, or for an answer without tokens, in milliseconds. */
  readonly deadlineMs: number;
  /** Whether the request must not be retried once it may have run. */
  readonly isNonIdempotent: boolean;
  /** Names of the policies that select the request. */
  readonly policies: readonly string[];
}
