const DECREASE_FACTOR = 0.96;
const INITIAL_SHARE = 0.5;
/** Room kept below the target, so that most tokens and not only the mean come within it. */
const TARGET_SHARE = 0.93;

/** How many requests may run side by side, found by the time between tokens that they get. */
export class ConcurrencyLimit {
  readonly #max: number;
  readonly #targetMs: number;
  #limit: number;

  /**
   * @param max - the operator's bound
   * @param targetMs - time between tokens that must be kept, in milliseconds
   */
  constructor(max: number, targetMs: number) {
    this.#max = max;
    this.#targetMs = targetMs * TARGET_SHARE;
    this.#limit = Math.max(1, max * INITIAL_SHARE);
  }

  /** Requests that may run side by side. */
  get limit(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /**
   * Learns from a window of time.
   *
   * @param tokenMs - time between tokens, in milliseconds; 0 when none passed
   * @param runningCount - requests that ran
   * @param isWaiting - whether more wanted to
   */
  observe(tokenMs: number, runningCount: number, isWaiting: boolean): void {
    if (tokenMs > this.#targetMs) {
      // The cut is measured from what runs, which takes seconds to fall: cutting the limit itself
      // again in each window would close the endpoint long before the first cut shows.
      const reached = Math.max(1, runningCount) * DECREASE_FACTOR;
      this.#limit = Math.max(1, Math.min(this.#limit, reached));
      return;
    }
    const isAtLimit = runningCount >= this.limit || isWaiting;
    if (isAtLimit) this.#limit = Math.min(this.#max, this.#limit + 1);
  }
}
