const MS_PER_SECOND = 1_000;

/** A rate limit that allows a burst of one second's worth. */
export class TokenBucket {
  readonly #perSecond: number;
  readonly #burst: number;
  #tokens: number;
  #filledAtMs: number;

  /**
   * @param perSecond - tokens that flow in each second
   * @param burst - most tokens that can lie there
   * @param nowMs - the clock now, in milliseconds
   */
  constructor(perSecond: number, burst: number, nowMs: number) {
    this.#perSecond = perSecond;
    this.#burst = burst;
    this.#tokens = burst;
    this.#filledAtMs = nowMs;
  }

  /**
   * Takes a token if there is one.
   *
   * @param nowMs - the clock now, in milliseconds
   * @param count - tokens to take
   * @returns 0 when they were taken, or the wait until they could be, in milliseconds
   */
  take(nowMs: number, count = 1): number {
    const flowed = ((nowMs - this.#filledAtMs) / MS_PER_SECOND) * this.#perSecond;
    this.#tokens = Math.min(this.#burst, this.#tokens + Math.max(0, flowed));
    this.#filledAtMs = nowMs;
    if (this.#tokens >= count) {
      this.#tokens -= count;
      return 0;
    }
    return ((count - this.#tokens) / this.#perSecond) * MS_PER_SECOND;
  }
}
