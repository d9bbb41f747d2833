/**
 * Recent loads from the weight store, over all engines. Every instance maintains it from the states
 * that the engines' owners report, so that the next planner counts the loads that others have
 * begun.
 */
export class RecentLoads {
  readonly #windowMs: number;
  readonly #startsMs = new Map<string, number>();

  /**
   * @param windowMs - length of the window that the weight store's limit applies to, in
   *   milliseconds
   */
  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /**
   * Records a load; repeated reports of the same load count once.
   *
   * @param endpoint - id of the engine
   * @param model - name of the model
   * @param startMs - monotonic time at which the load began, in milliseconds; the current time for
   *   a load that is about to begin
   */
  record(endpoint: string, model: string, startMs: number): void {
    const key = `${endpoint}/${model}`;
    this.#startsMs.set(key, Math.max(startMs, this.#startsMs.get(key) ?? -Infinity));
  }

  /**
   * @param nowMs - current time of a monotonic clock, in milliseconds
   * @returns time since each load within the window began, in milliseconds
   */
  agesMs(nowMs: number): number[] {
    this.#startsMs.forEach((startMs, key) => {
      if (startMs <= nowMs - this.#windowMs) this.#startsMs.delete(key);
    });
    return [...this.#startsMs.values()].map((startMs) => nowMs - startMs);
  }
}
