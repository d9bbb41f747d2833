const MS_PER_SECOND = 1_000;

interface DemandRates {
  /** Share of a rise that is believed after a second. */
  readonly risePerSecond: number;
  /** Share of a fall that is believed after a second. */
  readonly fallPerSecond: number;
}

const defaultRates: DemandRates = { risePerSecond: 0.9, fallPerSecond: 0.1 };

/**
 * Demand by model, fast up and slow down: a late load misses a crest, while a replica that stays a
 * minute too long costs only memory that nobody else asked for.
 */
export class DemandEstimate {
  readonly #rates: DemandRates;
  readonly #estimates = new Map<string, number>();

  /** @param rates - how fast to believe changes */
  constructor(rates: DemandRates = defaultRates) {
    this.#rates = rates;
  }

  /** Tokens a second by model. */
  get byModel(): ReadonlyMap<string, number> {
    return this.#estimates;
  }

  /**
   * Learns from a window of time.
   *
   * @param tokensPerSecond - what was wanted of each model; a model left out was not wanted
   * @param durationMs - length of the window, in milliseconds
   */
  observe(tokensPerSecond: ReadonlyMap<string, number>, durationMs: number): void {
    const names = new Set([...this.#estimates.keys(), ...tokensPerSecond.keys()]);
    names.forEach((name) => {
      const known = this.#estimates.get(name) ?? 0;
      const seen = tokensPerSecond.get(name) ?? 0;
      const { risePerSecond, fallPerSecond } = this.#rates;
      const perSecond = seen > known ? risePerSecond : fallPerSecond;
      const share = 1 - (1 - perSecond) ** (durationMs / MS_PER_SECOND);
      this.#estimates.set(name, known + share * (seen - known));
    });
  }
}
