/** Bounds of a retry budget that many instances share without asking each other. */
interface RetryBudgetBounds {
  /** Repeats that each request earns; a share. */
  readonly ratio: number;
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
  /** Repeats that are free in a window, over all instances; a count. */
  readonly freeCount: number;
}

/** Part of the bounds that is used, so that delays between here and the endpoint break nothing. */
const USED_SHARE = 0.8;
/** Slices of a window: an event leaves the count at most a slice late. */
const SLICE_COUNT = 10;

interface Slice {
  readonly startMs: number;
  requestCount: number;
  repeatCount: number;
}

/**
 * One instance's part of the repeats that a service may get in any window: what its own requests
 * have earned and an even part of the free ones.
 */
export class SharedRetryBudget {
  readonly #bounds: RetryBudgetBounds;
  #slices: Slice[] = [];

  /** @param bounds - bounds over all instances */
  constructor(bounds: RetryBudgetBounds) {
    this.#bounds = bounds;
  }

  /**
   * Counts a new request.
   *
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  earn(nowMs: number): void {
    this.#current(nowMs).requestCount += 1;
  }

  /**
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @param instanceCount - instances that share the free repeats
   * @returns whether a repeat may be sent; it counts as sent
   */
  spend(nowMs: number, instanceCount: number): boolean {
    const current = this.#current(nowMs);
    const requests = this.#slices.reduce((sum, { requestCount }) => sum + requestCount, 0);
    const repeats = this.#slices.reduce((sum, { repeatCount }) => sum + repeatCount, 0);
    const { ratio, freeCount } = this.#bounds;
    const allowed = USED_SHARE * (ratio * requests + freeCount / Math.max(1, instanceCount));
    if (repeats + 1 > allowed) return false;
    current.repeatCount += 1;
    return true;
  }

  #current(nowMs: number): Slice {
    const { windowMs } = this.#bounds;
    const sliceMs = windowMs / SLICE_COUNT;
    this.#slices = this.#slices.filter(({ startMs }) => startMs > nowMs - windowMs - sliceMs);
    const last = this.#slices.at(-1);
    if (last && nowMs < last.startMs + sliceMs) return last;
    const slice = { startMs: nowMs, requestCount: 0, repeatCount: 0 };
    this.#slices.push(slice);
    return slice;
  }
}
