import { DemandEstimate } from '@chervilseam/decisions';

const MEAN_TOKENS = 100;
const TELL_MS = 10_000;
const TELL_SOON_MS = 2_000;
const CHANGE_FACTOR = 1.5;
const MS_PER_SECOND = 1_000;

/** What is wanted of each model at this entry, and when to tell the log of it. */
export class DemandMeter {
  readonly #estimate = new DemandEstimate();
  #counts = new Map<string, number>();
  #windowStartMs: number;
  #toldMs = -Infinity;
  #told: Readonly<Record<string, number>> = {};

  /** @param nowMs - a clock that only goes forward, in milliseconds */
  constructor(nowMs: number) {
    this.#windowStartMs = nowMs;
  }

  /** @param model - model that a request asked for, whether it was served or not */
  count(model: string): void {
    this.#counts.set(model, (this.#counts.get(model) ?? 0) + 1);
  }

  /**
   * Ends a window of time.
   *
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns tokens a second by model if the log should be told now
   */
  tick(nowMs: number): Readonly<Record<string, number>> | undefined {
    const durationMs = nowMs - this.#windowStartMs;
    if (durationMs < MS_PER_SECOND) return undefined;
    const seconds = durationMs / MS_PER_SECOND;
    const rates = [...this.#counts].map(
      ([model, count]) => [model, (count * MEAN_TOKENS) / seconds] as const,
    );
    this.#estimate.observe(new Map(rates), durationMs);
    this.#counts = new Map();
    this.#windowStartMs = nowMs;
    return this.#due(nowMs);
  }

  #due(nowMs: number): Readonly<Record<string, number>> | undefined {
    const current = Object.fromEntries(
      [...this.#estimate.byModel].map(([model, tokens]) => [model, Math.round(tokens)]),
    );
    const ageMs = nowMs - this.#toldMs;
    const isOther = Object.entries(current).some(([model, tokens]) => {
      const known = this.#told[model] ?? 0;
      return (
        tokens > known * CHANGE_FACTOR + MEAN_TOKENS || known > tokens * CHANGE_FACTOR + MEAN_TOKENS
      );
    });
    const isDue = (isOther && ageMs >= TELL_SOON_MS) || ageMs >= TELL_MS;
    const isNothing = Object.values({ ...current, ...this.#told }).every((tokens) => tokens === 0);
    if (!isDue || isNothing) return undefined;
    this.#toldMs = nowMs;
    this.#told = current;
    return current;
  }
}
