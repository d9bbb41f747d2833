import type { SimWorld } from '../policy/sim-world.js';
import type { WeightStoreModel } from './weight-store-model.js';

const MODEL_BYTES = 16e9;
const CAPACITY_BYTES = 80e9;
const POLL_MS = 20;

/** Which models stand where, as loads and unloads change it. */
export class PlacementWorld {
  readonly modelBytes = MODEL_BYTES;
  readonly capacityBytes = CAPACITY_BYTES;
  readonly world: SimWorld;
  /** Models that each engine holds or loads. */
  readonly held: Set<number>[];
  /** What each engine's memory held, from each change on. */
  readonly memoryHistory: {
    readonly atMs: number;
    readonly engine: number;
    readonly bytes: number;
  }[] = [];

  moves = 0;
  /** Most bytes past the capacity that any engine held. */
  overcommittedBytes = 0;
  /** Seconds in which some model had no ready replica, summed over models. */
  unreachableSeconds = 0;
  readonly #store: WeightStoreModel;
  readonly #leaving: Set<number>[];
  /** What takes memory: what is there, and what has begun to load. */
  readonly #inMemory: Set<number>[];
  readonly #lost = new Set<number>();

  constructor(world: SimWorld, store: WeightStoreModel) {
    this.world = world;
    this.#store = store;
    this.held = world.engines.map(() => new Set());
    this.#leaving = world.engines.map(() => new Set());
    this.#inMemory = world.engines.map(() => new Set());
    world.replicas.forEach((engines, model) =>
      engines.forEach((engine) => {
        this.held[engine].add(model);
        this.#inMemory[engine].add(model);
      }),
    );
    world.engines.forEach((_, engine) => this.#note(engine));
    const check = (): void => {
      this.unreachableSeconds += world.replicas.filter((engines) => engines.length === 0).length;
      world.clock.after(1_000, check);
    };
    world.clock.after(1_000, check);
  }

  /** Loads under way; a count. */
  get loadCount(): number {
    return this.#store.activeCount;
  }

  isLost(engine: number): boolean {
    return this.#lost.has(engine);
  }

  /** Takes models away, waits until nothing of them runs, then loads another. */
  move(engine: number, load: number, unload: readonly number[]): void {
    if (this.held[engine].has(load) || this.isLost(engine)) return;
    unload.forEach((model) => {
      this.#remove(engine, model);
      this.#leaving[engine].add(model);
    });
    this.held[engine].add(load);
    this.moves += 1;
    this.#whenDrained(engine, unload, () => {
      unload.forEach((model) => {
        this.#leaving[engine].delete(model);
        this.held[engine].delete(model);
        this.#inMemory[engine].delete(model);
      });
      this.#inMemory[engine].add(load);
      this.#note(engine);
      this.#store.load(() => {
        const isWanted = this.held[engine].has(load) && !this.isLost(engine);
        if (isWanted) this.world.replicas[load].push(engine);
      });
    });
  }

  /** The engine is gone with everything in it. */
  lose(engine: number): void {
    this.#lost.add(engine);
    [...this.held[engine]].forEach((model) => this.#remove(engine, model));
    this.held[engine].clear();
    this.#inMemory[engine].clear();
    this.#note(engine);
  }

  /** The engine is back, empty. */
  regain(engine: number): void {
    this.#lost.delete(engine);
  }

  /** Models that an engine holds or loads, without those that are leaving. */
  staying(engine: number): number[] {
    return [...this.held[engine]].filter((model) => !this.#leaving[engine].has(model));
  }

  #remove(engine: number, model: number): void {
    const replicas = this.world.replicas[model];
    const at = replicas.indexOf(engine);
    if (at >= 0) replicas.splice(at, 1);
  }

  #whenDrained(engine: number, models: readonly number[], then: () => void): void {
    const { activeByModel } = this.world.engines[engine];
    if (models.every((model) => (activeByModel.get(model) ?? 0) === 0)) then();
    else this.world.clock.after(POLL_MS, () => this.#whenDrained(engine, models, then));
  }

  #note(engine: number): void {
    const bytes = this.#inMemory[engine].size * MODEL_BYTES;
    this.memoryHistory.push({ atMs: this.world.clock.nowMs, engine, bytes });
    this.overcommittedBytes = Math.max(this.overcommittedBytes, bytes - CAPACITY_BYTES);
  }
}
