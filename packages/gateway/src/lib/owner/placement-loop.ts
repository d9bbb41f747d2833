import { planPlacement, WindowLimit } from '@chervilseam/decisions';
import type { EngineSpec, ServingConfig } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { Endpoint } from '../feed/endpoint.js';
import type { OwnedEngineState } from '../peer/instance-state.js';
import type { EngineOwner } from './engine-owner.js';

/** Share of an engine's places that its models' demand may fill: above it tokens come slowly. */
const PLACE_SHARE = 0.4;
/** A model stays reachable for this long after it was last asked for, in milliseconds. */
const LABEL_MS = 20_000;
/** Moves of one round, over all engines; a count. */
const MOVE_MAX = 6;
const BYTES_PER_MB = 1_000_000;
const MS_PER_SECOND = 1_000;

/** What placement needs around it. */
interface PlacementContext {
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  readonly endpointsOf: (service: string) => readonly Endpoint[];
  readonly endpoint: (id: string) => Endpoint | undefined;
  /** What the owner of an engine tells of it, or `undefined` while it has none that is heard. */
  readonly engineState: (endpoint: string) => OwnedEngineState | undefined;
  /** The owner of an engine, where that is this instance and it may act. */
  readonly ownerOf: (endpoint: string) => EngineOwner | undefined;
  /** Demand of all instances by model. */
  readonly demand: () => ReadonlyMap<string, number>;
  /** Instances that own engines; a count. */
  readonly ownerCount: () => number;
  readonly loadWindowMs: number;
  readonly loadSlackRatio: number;
}

/**
 * Follows demand with the models in the engines' memory. Each owner makes the same plan from what
 * all tell each other and carries out the part that is on its own engines.
 */
export class PlacementLoop {
  readonly #context: PlacementContext;
  readonly #askedMs = new Map<string, number>();
  readonly #loads: WindowLimit;

  /** @param context - what placement needs around it */
  constructor(context: PlacementContext) {
    this.#context = context;
    this.#loads = new WindowLimit(context.loadWindowMs);
  }

  /** @param config - the configuration in force */
  tick(config: ServingConfig): void {
    const demand = this.#context.demand();
    demand.forEach((_, model) => this.#askedMs.set(model, this.#context.nowMs()));
    config.services.forEach(({ name, engine }) => {
      if (engine) this.#plan(name, engine, demand);
    });
  }

  #plan(service: string, spec: EngineSpec, demand: ReadonlyMap<string, number>): void {
    const { nowMs, endpointsOf, ownerOf, logger } = this.#context;
    const endpoints = endpointsOf(service).filter(({ isLeaving }) => !isLeaving);
    const plan = planPlacement({
      models: [...spec.models.values()].map(({ name, sizeMb }) => ({
        name,
        bytes: sizeMb * BYTES_PER_MB,
        isLabelled: nowMs() < (this.#askedMs.get(name) ?? -Infinity) + LABEL_MS,
        demand: demand.get(name) ?? 0,
      })),
      engines: endpoints
        .map((endpoint) => this.#engine(endpoint, spec))
        .sort((left, right) => (left.name < right.name ? -1 : 1)),
      moveBudget: MOVE_MAX,
    });
    plan.moves.forEach(({ engine, load, unload, reason, gain }) => {
      const owner = ownerOf(engine);
      if (!owner || owner.isMoving || !owner.isKnown) return;
      if (!this.#mayLoad(engine, load, spec)) return;
      const isBegun = owner.begin({ load, unload });
      if (!isBegun) return;
      logger.info('move', reason, {
        endpoint: engine,
        load,
        unload,
        gain: Math.round(gain * 100) / 100,
        demand: demand.get(load),
        servedShare: plan.servedShare,
      });
    });
  }

  // An engine that nobody may give orders to, or that is being changed, stays as it is in the plan.
  #engine(endpoint: Endpoint, spec: EngineSpec) {
    const { engineState, ownerOf } = this.#context;
    const state = engineState(endpoint.id);
    const owner = ownerOf(endpoint.id);
    const listed = endpoint.record.models.map(({ name }) => name);
    const loading = state?.loading.map(({ model }) => model) ?? [];
    const leaving = new Set(state?.leaving);
    const models = [...new Set([...listed, ...loading])].filter((model) => !leaving.has(model));
    const isFixed = !state || leaving.size > 0 || loading.length > 0 || owner?.isMoving === true;
    const usedMb = models.reduce((sum, name) => sum + (spec.models.get(name)?.sizeMb ?? 0), 0);
    const capacityMb = isFixed ? usedMb : spec.memoryMb - PlacementLoop.#adapterMb(spec);
    return {
      name: endpoint.id,
      capacityBytes: capacityMb * BYTES_PER_MB,
      tokensPerSecond: spec.slotCount * PLACE_SHARE,
      models,
      ready: isFixed ? [] : models,
      otherBytes: 0,
    };
  }

  static #adapterMb(spec: EngineSpec): number {
    const largest = Math.max(0, ...[...spec.models.values()].map(({ adapterMb }) => adapterMb));
    return largest * spec.adapterSlotCount;
  }

  // Loads from the engine's own disk or memory do not touch the weight store.
  #mayLoad(engine: string, model: string, spec: EngineSpec): boolean {
    const { endpoint, nowMs, loadWindowMs, loadSlackRatio, ownerCount } = this.#context;
    const record = endpoint(engine)?.record;
    if (record?.hostModels.includes(model) || record?.diskModels.includes(model)) return true;
    const allowed = (spec.storeLoadsPerSecond * loadWindowMs * loadSlackRatio) / MS_PER_SECOND;
    const share = Math.max(1, Math.floor(allowed / Math.max(1, ownerCount())));
    return this.#loads.take(share, nowMs());
  }
}
