/** Lets a number of events begin in any window of time. */
export class WindowLimit {
  readonly #windowMs: number;
  #startsMs: number[] = [];

  /** @param windowMs - length of the window, in milliseconds */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * @param countMax - events that may begin in a window
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns whether another one may begin; it counts as begun
   */
  take(countMax: number, nowMs: number): boolean {
    this.#startsMs = this.#startsMs.filter((startMs) => startMs > nowMs - this.#windowMs);
    if (this.#startsMs.length >= countMax) return false;
    this.#startsMs.push(nowMs);
    return true;
  }
}
