import { DemandEstimate } from '@chervilseam/decisions';

const MEAN_TOKENS = 100;
const TELL_MS = 180_000;
const TELL_SOON_MS = 2_000;
/** Each instance that reads adds this to the time between two words, in milliseconds. */
const TELL_SOON_MS_PER_INSTANCE = 100;
const CHANGE_FACTOR = 1.5;
const MS_PER_SECOND = 1_000;

/** Tokens a second by model, of all models or of those that changed. */
interface DemandWord {
  readonly isWhole: boolean;
  readonly tokensPerSecond: Readonly<Record<string, number>>;
}

/** What is wanted of each model at this entry, and when to tell the log of it. */
export class DemandMeter {
  readonly #estimate = new DemandEstimate();
  #counts = new Map<string, number>();
  #windowStartMs: number;
  #toldMs = -Infinity;
  #toldChangeMs = -Infinity;
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
   * @param instances - instances that read what is told; a count
   * @returns what the log should be told now, if anything
   */
  tick(nowMs: number, instances: number): DemandWord | undefined {
    const durationMs = nowMs - this.#windowStartMs;
    if (durationMs < MS_PER_SECOND) return undefined;
    const seconds = durationMs / MS_PER_SECOND;
    const rates = [...this.#counts].map(
      ([model, count]) => [model, (count * MEAN_TOKENS) / seconds] as const,
    );
    this.#estimate.observe(new Map(rates), durationMs);
    this.#counts = new Map();
    this.#windowStartMs = nowMs;
    const soonMs = Math.max(TELL_SOON_MS, instances * TELL_SOON_MS_PER_INSTANCE);
    return this.#due(nowMs, soonMs);
  }

  // All instances of a domain read what each of them tells: in between, only what has changed is told.
  #due(nowMs: number, soonMs: number): DemandWord | undefined {
    const current = Object.fromEntries(
      [...this.#estimate.byModel].map(([model, tokens]) => [model, Math.round(tokens)]),
    );
    const ageMs = nowMs - this.#toldMs;
    const isAnything = Object.values({ ...this.#told, ...current }).some((tokens) => tokens > 0);
    if (ageMs >= TELL_MS && isAnything) {
      this.#toldMs = nowMs;
      this.#told = current;
      return { isWhole: true, tokensPerSecond: current };
    }
    if (nowMs - this.#toldChangeMs < soonMs) return undefined;
    const changed = Object.entries(current).filter(([model, tokens]) =>
      this.#isOther(model, tokens),
    );
    if (changed.length === 0) return undefined;
    this.#toldChangeMs = nowMs;
    const tokensPerSecond = Object.fromEntries(changed);
    this.#told = { ...this.#told, ...tokensPerSecond };
    return { isWhole: false, tokensPerSecond };
  }

  #isOther(model: string, tokens: number): boolean {
    const known = this.#told[model] ?? 0;
    const [less, more] = tokens < known ? [tokens, known] : [known, tokens];
    return more > less * CHANGE_FACTOR + MEAN_TOKENS;
  }
}
