/** Time after the announced one within which a caller still returns, in milliseconds. */
const RETURN_SLACK_MS = 1_000;

/** Times at which the refused callers of each model were told to return. */
export class ReturnTimes {
  /** The latest time for each model, in milliseconds. */
  readonly #untilMs = new Map<string, number>();

  /**
   * Records that a caller was refused.
   *
   * @param model - the model that it asked for
   * @param returnMs - when it was told to return, by a monotonic clock, in milliseconds
   */
  record(model: string, returnMs: number): void {
    this.#untilMs.set(model, Math.max(returnMs, this.#untilMs.get(model) ?? -Infinity));
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
   * Forgets the models whose callers should all have returned.
   *
   * @param nowMs - current time of the same clock, in milliseconds
   * @returns those models
   */
  expire(nowMs: number): string[] {
    const expected = new Set(this.models(nowMs));
    const expired = [...this.#untilMs.keys()].filter((model) => !expected.has(model));
    expired.forEach((model) => this.#untilMs.delete(model));
    return expired;
  }
}
