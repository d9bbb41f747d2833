/** Weight of the newest sample in the moving average. */
const SAMPLE_WEIGHT = 0.05;

/** Mean time for which a request occupies a place at an endpoint. */
export class HoldTime {
  #meanMs: number | undefined;

  /** Mean, in milliseconds; `undefined` without any sample. */
  get meanMs(): number | undefined {
    return this.#meanMs;
  }

  /** @param holdMs - time for which a request occupied its place, in milliseconds */
  record(holdMs: number): void {
    if (this.#meanMs === undefined) this.#meanMs = holdMs;
    else this.#meanMs += SAMPLE_WEIGHT * (holdMs - this.#meanMs);
  }
}
