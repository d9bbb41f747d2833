/** The greatest of the values that were recorded within a period, and of some up to twice as old. */
export class RecentMaximum {
  readonly #periodMs: number;
  #previous = 0;
  #current = 0;
  #startMs = -Infinity;

  /** @param periodMs - how long each value counts at least, in milliseconds */
  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  /**
   * @param value - the value; not below 0
   * @param nowMs - monotonic clock, in milliseconds
   */
  record(value: number, nowMs: number): void {
    this.#advance(nowMs);
    this.#current = Math.max(this.#current, value);
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the greatest value; 0 without any
   */
  value(nowMs: number): number {
    this.#advance(nowMs);
    return Math.max(this.#previous, this.#current);
  }

  #advance(nowMs: number): void {
    const ageMs = nowMs - this.#startMs;
    if (ageMs < this.#periodMs) return;
    this.#previous = ageMs < 2 * this.#periodMs ? this.#current : 0;
    this.#current = 0;
    this.#startMs = nowMs;
  }
}
