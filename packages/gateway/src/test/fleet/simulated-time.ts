/** A clock that advances only between the callbacks that were scheduled on it, in whole milliseconds. */
export class SimulatedTime {
  #nowMs = 0;
  readonly #callbacks = new Map<number, (() => void)[]>();

  /** Current time, in milliseconds. */
  get nowMs(): number {
    return this.#nowMs;
  }

  /**
   * @param delayMs - time until the callback runs, in milliseconds; at least one
   * @param callback - what to run
   */
  after(delayMs: number, callback: () => void): void {
    const atMs = this.#nowMs + Math.max(1, Math.round(delayMs));
    const due = this.#callbacks.get(atMs) ?? [];
    due.push(callback);
    this.#callbacks.set(atMs, due);
  }

  /**
   * @param delayMs - time to wait, in milliseconds
   * @returns settles then
   */
  wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(delayMs, resolve);
    });
  }

  /**
   * Runs what is due, with the promises that it settles, until a time.
   *
   * @param untilMs - the time, in milliseconds
   */
  async runUntil(untilMs: number): Promise<void> {
    while (this.#nowMs < untilMs) {
      this.#nowMs += 1;
      const due = this.#callbacks.get(this.#nowMs);
      if (due) {
        this.#callbacks.delete(this.#nowMs);
        due.forEach((callback) => callback());
        // eslint-disable-next-line no-await-in-loop
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      }
    }
  }
}
