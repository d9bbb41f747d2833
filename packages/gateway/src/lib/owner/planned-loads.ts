import type { PlannedState } from './planned-state.js';

/**
 * Time for which a planned load is published beyond its expected end, in milliseconds: a load may take longer,
 * and the state of the engine shows it once it is done.
 */
const OVERDUE_MAX_MS = 500;
/** Precision of the published times, in milliseconds. */
const STEP_MS = 100;

/** Loads that the planner has decided on or holds back, with the time until each model can serve. */
export class PlannedLoads {
  readonly #loads = new Map<string, { readonly readyMs: number; readonly state: PlannedState }>();

  /**
   * @param model - the model
   * @param readyMs - when it is expected to serve, in milliseconds
   * @param state - how far the plan has come
   * @returns whether no load of the model was planned before in that state
   */
  add(model: string, readyMs: number, state: PlannedState): boolean {
    const isNew = this.#loads.get(model)?.state !== state;
    this.#loads.set(model, { readyMs, state });
    return isNew;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns expected time until each model can serve, in milliseconds
   */
  remainingMs(nowMs: number): Record<string, number> {
    this.#loads.forEach(({ readyMs }, model) => {
      if (nowMs > readyMs + OVERDUE_MAX_MS) this.#loads.delete(model);
    });
    return Object.fromEntries(
      [...this.#loads].map(([model, { readyMs }]) => [
        model,
        Math.max(0, Math.ceil((readyMs - nowMs) / STEP_MS) * STEP_MS),
      ]),
    );
  }
}
