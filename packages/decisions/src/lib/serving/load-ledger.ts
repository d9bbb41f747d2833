/**
 * Loads from the weight store that began of late, over all engines. Every instance keeps it from what
 * the engines' owners tell, so that whoever plans next counts what was begun before.
 */
export class LoadLedger {
  readonly #windowMs: number;
  readonly #startsMs = new Map<string, number>();

  /** @param windowMs - length of the window that the weight store's limit holds for, in milliseconds */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * Notes a load.
   *
   * @param endpoint - the engine
   * @param model - the model
   * @param startMs - when it began, in milliseconds; now for one that has yet to begin
   */
  note(endpoint: string, model: string, startMs: number): void {
    const key = `${endpoint}/${model}`;
    this.#startsMs.set(key, Math.max(startMs, this.#startsMs.get(key) ?? -Infinity));
  }

  /**
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @param spanMs - time to look back, in milliseconds; the window when left out
   * @returns loads that began within that time or are about to; a count
   */
  count(nowMs: number, spanMs = this.#windowMs): number {
    this.#startsMs.forEach((startMs, key) => {
      if (startMs <= nowMs - this.#windowMs) this.#startsMs.delete(key);
    });
    return [...this.#startsMs.values()].filter((startMs) => startMs > nowMs - spanMs).length;
  }
}
