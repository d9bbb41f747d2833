/** Half-life of the weight of a run, in milliseconds. */
const HALF_LIFE_MS = 30_000;
/** Number of runs that are assumed to have gone well before the first one. */
const PRIOR_COUNT = 200;

/** Recent share of runs that were at the beginning of their answer when their engine ended by itself. */
export class CaughtShare {
  #caughtCount = 0;
  #runCount = 0;
  #atMs = 0;

  /** The share, greater than 0 and less than 1. */
  get share(): number {
    return (this.#caughtCount + 0.5) / (this.#runCount + PRIOR_COUNT);
  }

  /**
   * Counts runs.
   *
   * @param caughtCount - number of runs that an end of an engine broke off
   * @param provenCount - number of runs that got past the beginning of their answer
   * @param nowMs - monotonic clock, in milliseconds
   */
  count(caughtCount: number, provenCount: number, nowMs: number): void {
    const kept = 0.5 ** (Math.max(0, nowMs - this.#atMs) / HALF_LIFE_MS);
    this.#caughtCount = this.#caughtCount * kept + caughtCount;
    this.#runCount = this.#runCount * kept + caughtCount + provenCount;
    this.#atMs = nowMs;
  }
}
