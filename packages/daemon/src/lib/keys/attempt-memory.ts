const ATTEMPT_COUNT_MAX = 20_000;

/** What an instance knows of an attempt under a key that it claimed. */
export type AttemptState =
  | { readonly type: 'running' }
  /** It was never dispatched and never will be. */
  | { readonly type: 'abandoned' }
  | { readonly type: 'ran'; readonly status: number; readonly body: string | undefined }
  /** It was dispatched and its effect is not known, or the attempt is not remembered. */
  | { readonly type: 'unknown' };

/** Attempts that this life of the instance claimed keys for. */
export class AttemptMemory {
  readonly #states = new Map<string, AttemptState>();

  /**
   * @param attempt - id of an attempt
   * @returns what is known of it
   */
  get(attempt: string): AttemptState {
    return this.#states.get(attempt) ?? { type: 'unknown' };
  }

  /**
   * @param attempt - id of an attempt
   * @param state - what is known of it now
   */
  set(attempt: string, state: AttemptState): void {
    this.#states.delete(attempt);
    this.#states.set(attempt, state);
    if (this.#states.size <= ATTEMPT_COUNT_MAX) return;
    const [oldest] = this.#states.keys();
    this.#states.delete(oldest);
  }
}
