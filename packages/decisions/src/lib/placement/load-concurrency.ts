/** Time without a late load after which one more load at a time is tried, in milliseconds. */
const RAISE_MS = 6_000;
/** Number of loads at a time that is always allowed: one may also be late because its engine is slow. */
const COUNT_MIN = 2;
/** Shortest time between two reductions, in milliseconds: the loads that showed the first one end meanwhile. */
const REDUCE_MS = 1_000;

/**
 * Learns how many loads at a time the weight store sustains: when more are in progress, each takes longer than its
 * model's load time.
 */
export class LoadConcurrency {
  #countMax = Infinity;
  #changedMs = -Infinity;

  /** Largest number of loads at a time at which none is late, as far as known. */
  get countMax(): number {
    return this.#countMax;
  }

  /**
   * @param count - number of loads from the weight store that are in progress
   * @param hasLate - whether one of them takes longer than expected
   * @param nowMs - current time of a monotonic clock, in milliseconds
   * @returns whether the number has changed
   */
  observe(count: number, hasLate: boolean, nowMs: number): boolean {
    const previous = this.#countMax;
    if (hasLate && nowMs >= this.#changedMs + REDUCE_MS) {
      this.#countMax = Math.max(COUNT_MIN, Math.min(previous, count - 1));
    } else if (!hasLate && previous < Infinity && nowMs >= this.#changedMs + RAISE_MS) {
      this.#countMax = previous + 1;
    }
    if (this.#countMax === previous) return false;
    this.#changedMs = nowMs;
    return true;
  }
}
