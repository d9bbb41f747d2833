/** How a request is to be treated, by the policies that select it. */
export interface RequestClass {
  /** 0 to 100; more goes first. */
  readonly priority: number;
  /** Time until the first token, or until a plain answer, in milliseconds. */
  readonly deadlineMs: number;
  readonly isNonIdempotent: boolean;
  /** Names of the policies that applied. */
  readonly policies: readonly string[];
}
