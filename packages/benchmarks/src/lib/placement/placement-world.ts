import type { SimWorld } from '../policy/sim-world.js';
import type { WeightStoreModel } from './weight-store-model.js';

/** Size of each model. */
const MODEL_BYTES = 16e9;
/** Memory of each engine. */
const CAPACITY_BYTES = 80e9;
/** Time between checks whether a model still has requests, in milliseconds. */
const DRAIN_POLL_MS = 20;

/** The models that each engine holds in a simulated run, changed by loads and unloads. */
export class PlacementWorld {
  readonly modelBytes = MODEL_BYTES;
  readonly capacityBytes = CAPACITY_BYTES;
  readonly world: SimWorld;
  /** Models that each engine holds, loads or is about to unload, by index of the engine. */
  readonly held: Set<number>[];
  /** Memory in use at an engine after each change. */
  readonly memoryHistory: {
    readonly atMs: number;
    readonly engine: number;
    readonly bytes: number;
  }[] = [];

  /** Number of loads ordered so far. */
  moves = 0;
  /** Maximum number of bytes by which an engine exceeded its capacity. */
  overcommittedBytes = 0;
  /** Number of seconds without a ready replica, summed over all models. */
  unreachableSeconds = 0;
  readonly #store: WeightStoreModel;
  /** Models to be unloaded once no request uses them, by engine. */
  readonly #draining: Set<number>[];
  /** Models that take memory: those that are loaded or have begun to load, by engine. */
  readonly #inMemory: Set<number>[];
  readonly #failed = new Set<number>();

  constructor(world: SimWorld, store: WeightStoreModel) {
    this.world = world;
    this.#store = store;
    this.held = world.engines.map(() => new Set());
    this.#draining = world.engines.map(() => new Set());
    this.#inMemory = world.engines.map(() => new Set());
    world.replicas.forEach((engines, model) =>
      engines.forEach((engine) => {
        this.held[engine].add(model);
        this.#inMemory[engine].add(model);
      }),
    );
    world.engines.forEach((_, engine) => this.#recordMemory(engine));
    const sample = (): void => {
      this.unreachableSeconds += world.replicas.filter((engines) => engines.length === 0).length;
      world.clock.after(1_000, sample);
    };
    world.clock.after(1_000, sample);
  }

  /** Number of loads that run at the weight store. */
  get activeLoadCount(): number {
    return this.#store.activeCount;
  }

  hasFailed(engine: number): boolean {
    return this.#failed.has(engine);
  }

  /**
   * Replaces models of an engine by another: stops sending requests to them, waits until their last
   * request has ended, unloads them and then loads the other. Does nothing if the engine has failed or
   * holds the model already.
   *
   * @param engine - index of the engine
   * @param load - the model to load
   * @param unload - models to unload first
   */
  move(engine: number, load: number, unload: readonly number[]): void {
    if (this.held[engine].has(load) || this.hasFailed(engine)) return;
    unload.forEach((model) => {
      this.#removeReplica(engine, model);
      this.#draining[engine].add(model);
    });
    this.held[engine].add(load);
    this.moves += 1;
    this.#whenDrained(engine, unload, () => {
      unload.forEach((model) => {
        this.#draining[engine].delete(model);
        this.held[engine].delete(model);
        this.#inMemory[engine].delete(model);
      });
      this.#inMemory[engine].add(load);
      this.#recordMemory(engine);
      this.#store.load(() => {
        const isStillPlanned = this.held[engine].has(load) && !this.hasFailed(engine);
        if (isStillPlanned) this.world.replicas[load].push(engine);
      });
    });
  }

  /** Makes an engine fail: all of its models are lost. */
  failEngine(engine: number): void {
    this.#failed.add(engine);
    [...this.held[engine]].forEach((model) => this.#removeReplica(engine, model));
    this.held[engine].clear();
    this.#inMemory[engine].clear();
    this.#recordMemory(engine);
  }

  /** Returns a failed engine to service, without any model. */
  restoreEngine(engine: number): void {
    this.#failed.delete(engine);
  }

  /** @returns models that an engine holds or loads, without those that will be unloaded */
  remainingModels(engine: number): number[] {
    return [...this.held[engine]].filter((model) => !this.#draining[engine].has(model));
  }

  #removeReplica(engine: number, model: number): void {
    const replicas = this.world.replicas[model];
    const position = replicas.indexOf(engine);
    if (position >= 0) replicas.splice(position, 1);
  }

  #whenDrained(engine: number, models: readonly number[], then: () => void): void {
    const { activeByModel } = this.world.engines[engine];
    if (models.every((model) => (activeByModel.get(model) ?? 0) === 0)) then();
    else this.world.clock.after(DRAIN_POLL_MS, () => this.#whenDrained(engine, models, then));
  }

  #recordMemory(engine: number): void {
    const bytes = this.#inMemory[engine].size * MODEL_BYTES;
    this.memoryHistory.push({ atMs: this.world.clock.nowMs, engine, bytes });
    this.overcommittedBytes = Math.max(this.overcommittedBytes, bytes - CAPACITY_BYTES);
  }
}
