/** Retries that each new request earns. */
const EARNED_PER_REQUEST = 0.2;
/** Most retries that can be saved up; a count. */
const SAVED_MAX = 20;
const BACKOFF_MS = 25;
const BACKOFF_MAX_MS = 1_000;

/**
 * Bounds retries to a share of the traffic: when an endpoint fails for everybody, a count of retries
 * for each request would multiply the load just when it cannot be carried.
 */
export class RetryBudget {
  #saved = SAVED_MAX;

  /** Counts a new request. */
  earn(): void {
    this.#saved = Math.min(SAVED_MAX, this.#saved + EARNED_PER_REQUEST);
  }

  /** @returns whether a retry may be made; it counts as made */
  spend(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }

  /**
   * Waits longer after each failure, and not all for the same time.
   *
   * @param failureCount - failures of the request so far
   * @param unit - a random number from 0 up to 1
   * @returns how long to wait, in milliseconds
   */
  static backoffMs(failureCount: number, unit: number): number {
    return unit * Math.min(BACKOFF_MAX_MS, BACKOFF_MS * 2 ** failureCount);
  }
}
