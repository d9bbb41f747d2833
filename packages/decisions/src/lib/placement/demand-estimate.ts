const MS_PER_SECOND = 1_000;

interface DemandRates {
  /** Share of a rise that the estimate has followed after one second; 0 to 1. */
  readonly risePerSecond: number;
  /** Share of a fall that the estimate has followed after one second; 0 to 1. */
  readonly fallPerSecond: number;
}

const defaultRates: DemandRates = { risePerSecond: 0.9, fallPerSecond: 0.1 };

/**
 * Demand by model, smoothed so that the estimate rises fast and falls slowly: a load that starts
 * late misses the peak, while a replica that stays a minute too long costs only memory that no
 * other model needed.
 */
export class DemandEstimate {
  readonly #rates: DemandRates;
  readonly #estimates = new Map<string, number>();

  /** @param rates - how fast the estimate follows rises and falls */
  constructor(rates: DemandRates = defaultRates) {
    this.#rates = rates;
  }

  /** Estimated demand by model, in tokens per second. */
  get byModel(): ReadonlyMap<string, number> {
    return this.#estimates;
  }

  /**
   * Updates the estimates by the demand measured over a time window.
   *
   * @param tokensPerSecond - tokens per second requested of each model; a missing model had no
   *   demand
   * @param durationMs - length of the window, in milliseconds
   */
  observe(tokensPerSecond: ReadonlyMap<string, number>, durationMs: number): void {
    const names = new Set([...this.#estimates.keys(), ...tokensPerSecond.keys()]);
    names.forEach((name) => {
      const previous = this.#estimates.get(name) ?? 0;
      const measured = tokensPerSecond.get(name) ?? 0;
      const { risePerSecond, fallPerSecond } = this.#rates;
      const ratePerSecond = measured > previous ? risePerSecond : fallPerSecond;
      const weight = 1 - (1 - ratePerSecond) ** (durationMs / MS_PER_SECOND);
      this.#estimates.set(name, previous + weight * (measured - previous));
    });
  }
}
