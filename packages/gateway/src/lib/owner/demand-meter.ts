import { DemandEstimate } from '@chervilseam/decisions';

/** Time that a request keeps a place of an engine busy while none has been measured, in milliseconds. */
const FIRST_HOLD_MS = 1_200;
const HOLD_WEIGHT = 0.02;
/** Demand below this is not worth a word to the others; places of an engine. */
const DEMAND_MIN = 0.005;
const MS_PER_SECOND = 1_000;
/** A model's demand rises within a second and falls within a few. */
const RATES = { risePerSecond: 0.85, fallPerSecond: 0.3 };

/** Demand that callers of this instance have for each model, in places of an engine kept busy. */
export class DemandMeter {
  readonly #estimate = new DemandEstimate(RATES);
  #requests = new Map<string, number>();
  #holdMs = FIRST_HOLD_MS;
  #sinceMs: number;

  /** @param nowMs - a clock that only goes forward, in milliseconds */
  constructor(nowMs: number) {
    this.#sinceMs = nowMs;
  }

  /** @param model - model that a new request asks for */
  asked(model: string): void {
    this.#requests.set(model, (this.#requests.get(model) ?? 0) + 1);
  }

  /** @param holdMs - time that a request kept its place, in milliseconds */
  ended(holdMs: number): void {
    this.#holdMs += HOLD_WEIGHT * (holdMs - this.#holdMs);
  }

  /** Mean time that a request keeps its place, in milliseconds. */
  get holdMs(): number {
    return this.#holdMs;
  }

  /** Closes a window of time. */
  tick(nowMs: number): void {
    const durationMs = nowMs - this.#sinceMs;
    if (durationMs <= 0) return;
    const places = new Map(
      [...this.#requests].map(([model, count]) => {
        const perSecond = (count * MS_PER_SECOND) / durationMs;
        return [model, (perSecond * this.#holdMs) / MS_PER_SECOND] as const;
      }),
    );
    this.#estimate.observe(places, durationMs);
    this.#requests = new Map();
    this.#sinceMs = nowMs;
  }

  /** @returns demand by model, without what is next to nothing */
  demand(): Map<string, number> {
    return new Map([...this.#estimate.byModel].filter(([, value]) => value >= DEMAND_MIN));
  }
}
