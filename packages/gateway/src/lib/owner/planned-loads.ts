/**
 * Time for which a planned load is published beyond its expected end, in milliseconds: a load may take longer,
 * and the state of the engine shows it once it is done.
 */
const OVERDUE_MAX_MS = 500;
/** Precision of the published times, in milliseconds. */
const STEP_MS = 100;

/** Loads that the planner has decided on or holds back, with the time until each model can serve. */
export class PlannedLoads {
  readonly #readyMs = new Map<string, number>();

  /**
   * @param model - the model
   * @param readyMs - when it is expected to serve, in milliseconds
   * @returns whether no load of the model was planned before
   */
  add(model: string, readyMs: number): boolean {
    const isNew = !this.#readyMs.has(model);
    this.#readyMs.set(model, readyMs);
    return isNew;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns expected time until each model can serve, in milliseconds
   */
  remainingMs(nowMs: number): Record<string, number> {
    this.#readyMs.forEach((readyMs, model) => {
      if (nowMs > readyMs + OVERDUE_MAX_MS) this.#readyMs.delete(model);
    });
    return Object.fromEntries(
      [...this.#readyMs].map(([model, readyMs]) => [
        model,
        Math.max(0, Math.ceil((readyMs - nowMs) / STEP_MS) * STEP_MS),
      ]),
    );
  }
}
