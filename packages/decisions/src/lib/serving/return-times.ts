import type { RefusedCaller } from './refused-caller.js';

/** Time after the end of its `Retry-After` within which a caller still returns, in milliseconds. */
const RETURN_SLACK_MS = 1_000;
/** Largest number of callers of a model that are kept. */
const TIME_COUNT_MAX = 16;

/** When the refused callers of each model return: at the ends of their `Retry-After`. */
export class ReturnTimes {
  /** Latest end of a `Retry-After`, by model, in milliseconds. */
  readonly #untilMs = new Map<string, number>();
  /** Ends of the `Retry-After` of callers who return before their deadlines, by model, in milliseconds. */
  readonly #timesMs = new Map<string, readonly number[]>();

  /**
   * Records that a caller was refused.
   *
   * @param model - the model that it requested
   * @param caller - its `Retry-After` and deadline
   */
  record(model: string, { returnMs, deadlineMs }: RefusedCaller): void {
    this.#untilMs.set(model, Math.max(returnMs, this.#untilMs.get(model) ?? -Infinity));
    if (returnMs >= deadlineMs) return;
    this.#timesMs.set(
      model,
      [...(this.#timesMs.get(model) ?? []), returnMs].slice(-TIME_COUNT_MAX),
    );
  }

  /**
   * @param nowMs - current time of the same clock, in milliseconds
   * @returns models with callers who have yet to return
   */
  models(nowMs: number): string[] {
    return [...this.#untilMs].flatMap(([model, untilMs]) =>
      nowMs <= untilMs + RETURN_SLACK_MS ? [model] : [],
    );
  }

  /**
   * @param nowMs - current time of the same clock, in milliseconds
   * @param horizonMs - how far ahead to look for each model, in milliseconds
   * @returns models of which a caller may return between now and then
   */
  due(nowMs: number, horizonMs: (model: string) => number): string[] {
    return [...this.#timesMs].flatMap(([model, timesMs]) => {
      const endMs = nowMs + horizonMs(model);
      const isDue = timesMs.some((timeMs) => nowMs <= timeMs + RETURN_SLACK_MS && timeMs <= endMs);
      return isDue ? [model] : [];
    });
  }

  /**
   * Forgets the models whose callers have all returned or given up.
   *
   * @param nowMs - current time of the same clock, in milliseconds
   * @returns those models
   */
  expire(nowMs: number): string[] {
    const expected = new Set(this.models(nowMs));
    const expired = [...this.#untilMs.keys()].filter((model) => !expected.has(model));
    expired.forEach((model) => {
      this.#untilMs.delete(model);
      this.#timesMs.delete(model);
    });
    return expired;
  }
}
