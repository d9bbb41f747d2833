import type { EngineMove } from '../../lib/owner/engine-move.js';
import type { OwnedEngineState } from '../../lib/peer/owned-engine-state.js';

/** Time from a move until its unload has taken effect, in milliseconds. */
const UNLOAD_MS = 480;

/** An engine whose models are changed one move at a time, in simulated time. */
export class SimulatedEngine {
  readonly id: string;
  readonly #loadMs: number;
  #models: readonly string[];
  #change: { readonly load: string; readonly readyMs: number } | undefined;

  /**
   * @param id - its name
   * @param models - models that it holds at first
   * @param loadMs - time to load a model, in milliseconds
   */
  constructor(id: string, models: readonly string[], loadMs: number) {
    this.id = id;
    this.#models = models;
    this.#loadMs = loadMs;
  }

  /** Models that can serve. */
  get models(): readonly string[] {
    return this.#models;
  }

  /** Begins a move, unless another one is in progress. */
  begin({ load, unload }: EngineMove, nowMs: number): void {
    if (this.#change) return;
    this.#models = this.#models.filter((model) => !unload.includes(model));
    this.#change = { load, readyMs: nowMs + UNLOAD_MS * unload.length + this.#loadMs };
  }

  /** Ends the move if its load is done. */
  tick(nowMs: number): void {
    if (!this.#change || nowMs < this.#change.readyMs) return;
    this.#models = [...this.#models, this.#change.load];
    this.#change = undefined;
  }

  /** @returns what its owner publishes */
  state(nowMs: number): OwnedEngineState {
    const loading = this.#change
      ? [{ model: this.#change.load, remainingMs: this.#change.readyMs - nowMs }]
      : [];
    return {
      models: this.#models,
      adapters: [],
      isBusy: this.#change !== undefined,
      leaving: [],
      storeLoadAgesMs: {},
      loading,
    };
  }
}
