/** Number of retries that each new request adds to the budget. */
const RETRIES_PER_REQUEST = 0.2;
/** Maximum number of retries in the budget; also its initial value. */
const AVAILABLE_RETRIES_MAX = 20;
/** Upper bound of the random backoff at a failure count of 0; it doubles with each failure. */
const BACKOFF_BASE_MS = 25;
const BACKOFF_MAX_MS = 1_000;

/**
 * Limits retries to a fraction of the traffic. A fixed number of retries per request would multiply
 * the load when an endpoint fails for all callers, which is when it can carry the least.
 */
export class RetryBudget {
  #availableRetries = AVAILABLE_RETRIES_MAX;

  /** Counts a new request, which adds to the budget. */
  earn(): void {
    this.#availableRetries = Math.min(
      AVAILABLE_RETRIES_MAX,
      this.#availableRetries + RETRIES_PER_REQUEST,
    );
  }

  /** @returns whether a retry may be made; if so, it is deducted from the budget */
  spend(): boolean {
    if (this.#availableRetries < 1) return false;
    this.#availableRetries -= 1;
    return true;
  }

  /**
   * Computes an exponential backoff with full jitter.
   *
   * @param failureCount - number of failures of the request so far
   * @param unit - a random number from 0 (inclusive) to 1 (exclusive)
   * @returns how long to wait, in milliseconds
   */
  static backoffMs(failureCount: number, unit: number): number {
    return unit * Math.min(BACKOFF_MAX_MS, BACKOFF_BASE_MS * 2 ** failureCount);
  }
}
