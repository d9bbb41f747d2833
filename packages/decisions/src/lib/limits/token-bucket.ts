const MS_PER_SECOND = 1_000;

/** A rate limit that allows bursts up to the size of the bucket. */
export class TokenBucket {
  readonly #perSecond: number;
  readonly #burst: number;
  #tokens: number;
  #refilledAtMs: number;

  /**
   * @param perSecond - tokens added per second
   * @param burst - capacity of the bucket in tokens; it is full at the start
   * @param nowMs - monotonic clock, in milliseconds
   */
  constructor(perSecond: number, burst: number, nowMs: number) {
    this.#perSecond = perSecond;
    this.#burst = burst;
    this.#tokens = burst;
    this.#refilledAtMs = nowMs;
  }

  /**
   * Takes tokens if there are enough.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param count - number of tokens to take
   * @returns 0 when they were taken; otherwise the time until there are enough, in milliseconds
   */
  take(nowMs: number, count = 1): number {
    const refilled = ((nowMs - this.#refilledAtMs) / MS_PER_SECOND) * this.#perSecond;
    this.#tokens = Math.min(this.#burst, this.#tokens + Math.max(0, refilled));
    this.#refilledAtMs = nowMs;
    if (this.#tokens >= count) {
      this.#tokens -= count;
      return 0;
    }
    return ((count - this.#tokens) / this.#perSecond) * MS_PER_SECOND;
  }
}
