/** Mean duration of runs, and of those found in progress, that is assumed at first, in milliseconds. */
const INITIAL_MEAN_MS = 1_500;
const INITIAL_FOUND_MS = 4_000;
/** Share of the mean that a new run replaces: the long runs that an unload waits for are rare. */
const SMOOTHING = 0.02;

/**
 * Estimates how long an engine takes to unload a model: the unload waits for the runs on the model that are
 * in progress.
 */
export class UnloadTime {
  #meanMs = INITIAL_MEAN_MS;
  #meanSquaredMs = INITIAL_MEAN_MS * INITIAL_FOUND_MS;

  /** @param durationMs - duration of a run that has ended, in milliseconds */
  record(durationMs: number): void {
    this.#meanMs += SMOOTHING * (durationMs - this.#meanMs);
    this.#meanSquaredMs += SMOOTHING * (durationMs ** 2 - this.#meanSquaredMs);
  }

  /**
   * @param runCount - number of runs on the model that are in progress
   * @returns expected time until the last of them has ended, in milliseconds
   */
  estimateMs(runCount: number): number {
    // A run that is found in progress is longer than the mean: long runs are in progress more often.
    const foundMs = this.#meanSquaredMs / this.#meanMs;
    return (foundMs * runCount) / (runCount + 1);
  }
}
