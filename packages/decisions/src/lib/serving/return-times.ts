/** Time after the announced one within which a caller still returns, in milliseconds. */
const RETURN_SLACK_MS = 1_000;
/** Largest number of return times that are kept for a model. */
const TIME_COUNT_MAX = 16;

/** A caller that was refused. */
interface RefusedCaller {
  /** When it was told to return, by a monotonic clock, in milliseconds. */
  readonly returnMs: number;
  /** When its time ends, by the same clock, in milliseconds: one that is told to return later can't. */
  readonly deadlineMs: number;
}

/** Times at which the refused callers of each model were told to return. */
export class ReturnTimes {
  /** The latest time for each model, in milliseconds. */
  readonly #untilMs = new Map<string, number>();
  /** Times of the callers of each model who can return by their deadlines, in milliseconds. */
  readonly #timesMs = new Map<string, readonly number[]>();

  /**
   * Records that a caller was refused.
   *
   * @param model - the model that it asked for
   * @param caller - when it was told to return
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
   * @returns models whose callers may still return as they were told
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
   * Forgets the models whose callers should all have returned.
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
