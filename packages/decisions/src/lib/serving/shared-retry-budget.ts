/** Bounds of a retry budget that many instances share without coordination. */
interface RetryBudgetBounds {
  /** Number of retries that each request earns; a fraction. */
  readonly ratio: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
  /** Number of retries in a window that needn't be earned, over all instances. */
  readonly freeCount: number;
}

/**
 * Share of the bounds that is used: network delay can crowd retries into one window at the
 * endpoint.
 */
const USED_SHARE = 0.8;
/** Number of slices of a window; an event is counted for at most one slice too long. */
const SLICE_COUNT = 10;

interface Slice {
  readonly startMs: number;
  requestCount: number;
  retryCount: number;
}

/**
 * One instance's part of the retries that a service may receive in any window: those that the
 * instance's own requests have earned, and an equal part of the free ones.
 */
export class SharedRetryBudget {
  readonly #bounds: RetryBudgetBounds;
  #slices: Slice[] = [];

  /** @param bounds - bounds that hold for all instances together */
  constructor(bounds: RetryBudgetBounds) {
    this.#bounds = bounds;
  }

  /**
   * Counts a request that isn't a retry.
   *
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  earn(nowMs: number): void {
    this.#current(nowMs).requestCount += 1;
  }

  /**
   * @param nowMs - current time of a monotonic clock, in milliseconds
   * @param instanceCount - number of instances that share the free retries
   * @returns whether a retry may be sent; if so, it is counted
   */
  spend(nowMs: number, instanceCount: number): boolean {
    const current = this.#current(nowMs);
    const requests = this.#slices.reduce((sum, { requestCount }) => sum + requestCount, 0);
    const retries = this.#slices.reduce((sum, { retryCount }) => sum + retryCount, 0);
    const { ratio, freeCount } = this.#bounds;
    const allowed = USED_SHARE * (ratio * requests + freeCount / Math.max(1, instanceCount));
    if (retries + 1 > allowed) return false;
    current.retryCount += 1;
    return true;
  }

  #current(nowMs: number): Slice {
    const { windowMs } = this.#bounds;
    const sliceMs = windowMs / SLICE_COUNT;
    this.#slices = this.#slices.filter(({ startMs }) => startMs > nowMs - windowMs - sliceMs);
    const last = this.#slices.at(-1);
    if (last && nowMs < last.startMs + sliceMs) return last;
    const slice = { startMs: nowMs, requestCount: 0, retryCount: 0 };
    this.#slices.push(slice);
    return slice;
  }
}
