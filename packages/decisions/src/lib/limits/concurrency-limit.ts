/** On a decrease, the limit becomes this fraction of the number of running requests. */
const DECREASE_FACTOR = 0.96;
/** Fraction of the upper bound at which the limit starts. */
const INITIAL_FRACTION = 0.5;
/**
 * Fraction of the target interval that the mean token interval is held to, so that most intervals
 * and not only their mean stay within the target.
 */
const TARGET_FRACTION = 0.93;

/**
 * Adapts the number of concurrent requests at an endpoint to a target for the time between tokens.
 */
export class ConcurrencyLimit {
  readonly #max: number;
  readonly #targetMs: number;
  #limit: number;

  /**
   * @param max - upper bound of the limit, from the operator's configuration
   * @param targetMs - maximum time between tokens, in milliseconds
   */
  constructor(max: number, targetMs: number) {
    this.#max = max;
    this.#targetMs = targetMs * TARGET_FRACTION;
    this.#limit = Math.max(1, max * INITIAL_FRACTION);
  }

  /** Current limit of concurrent requests; at least 1. */
  get limit(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /**
   * Updates the limit from the measurements of one window.
   *
   * @param tokenMs - mean time between tokens, in milliseconds; 0 when there were no tokens
   * @param runningCount - number of running requests
   * @param isWaiting - whether further requests were waiting
   */
  observe(tokenMs: number, runningCount: number, isWaiting: boolean): void {
    if (tokenMs > this.#targetMs) {
      // The new limit is computed from the number of running requests, not from the old limit: that
      // number takes seconds to fall, and reducing the limit again in each window would nearly
      // close the endpoint before the first reduction has an effect.
      const reducedLimit = Math.max(1, runningCount) * DECREASE_FACTOR;
      this.#limit = Math.max(1, Math.min(this.#limit, reducedLimit));
      return;
    }
    const isAtLimit = runningCount >= this.limit || isWaiting;
    if (isAtLimit) this.#limit = Math.min(this.#max, this.#limit + 1);
  }
}
