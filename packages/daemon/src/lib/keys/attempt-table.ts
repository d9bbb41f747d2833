/** Number of attempts that are kept; the oldest are dropped. */
const ATTEMPT_COUNT_MAX = 20_000;

/** The state of an attempt, as known to the instance that claimed the key for it. */
export type AttemptState =
  /** Its claim is being decided, or it was dispatched and has not ended. */
  | { readonly type: 'running' }
  /** It has not run at any endpoint and never will. */
  | { readonly type: 'abandoned' }
  /** It ran: status and body of its answer. The body is `undefined` when it cannot be replayed. */
  | { readonly type: 'ran'; readonly status: number; readonly body: string | undefined }
  /** It was dispatched and may or may not have run, or the attempt is not in the table. */
  | { readonly type: 'unknown' };

/** The attempts for which this run of the instance claimed idempotency keys. */
export class AttemptTable {
  readonly #states = new Map<string, AttemptState>();

  /**
   * @param attempt - id of an attempt
   * @returns its state; `unknown` when it is not in the table
   */
  get(attempt: string): AttemptState {
    return this.#states.get(attempt) ?? { type: 'unknown' };
  }

  /**
   * @param attempt - id of an attempt
   * @param state - its new state
   */
  set(attempt: string, state: AttemptState): void {
    this.#states.delete(attempt);
    this.#states.set(attempt, state);
    if (this.#states.size <= ATTEMPT_COUNT_MAX) return;
    const [oldest] = this.#states.keys();
    this.#states.delete(oldest);
  }
}
