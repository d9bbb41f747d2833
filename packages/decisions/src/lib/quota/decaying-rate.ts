const MS_PER_SECOND = 1_000;

/** A rate over the recent past, in which what is older counts less. */
export class DecayingRate {
  readonly #timeConstantMs: number;
  #perSecond = 0;
  #updatedMs = -Infinity;

  /** @param timeConstantMs - time after which a contribution has decayed to a third, in milliseconds */
  constructor(timeConstantMs: number) {
    this.#timeConstantMs = timeConstantMs;
  }

  /**
   * @param count - units that were counted now
   * @param nowMs - monotonic clock, in milliseconds
   */
  add(count: number, nowMs: number): void {
    this.#perSecond = this.perSecond(nowMs) + (count * MS_PER_SECOND) / this.#timeConstantMs;
    this.#updatedMs = nowMs;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the rate, in units per second
   */
  perSecond(nowMs: number): number {
    if (this.#perSecond === 0) return 0;
    return this.#perSecond * Math.exp(-(nowMs - this.#updatedMs) / this.#timeConstantMs);
  }
}
