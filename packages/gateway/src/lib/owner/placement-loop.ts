import { forecastDemand, LoadLedger, MoveReason, planPlacement } from '@chervilseam/decisions';
import type { EngineSpec, ServingConfig } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { Endpoint } from '../feed/endpoint.js';
import type { OwnedEngineState } from '../peer/owned-engine-state.js';
import { loadTimeMs } from './load-time-ms.js';
import type { EngineMove } from './engine-move.js';

/** Tokens that an engine of usual speed reads a second: 38 a millisecond on the users' sheets. */
const ENGINE_TOKENS_PER_SECOND = 38_000;
/** Share of that which demand may fill: above it tokens come slowly. */
const UTILIZATION = 0.9;
/** Share of an engine's tokens that a rare model may take from others. */
const LOSS_SHARE_MAX = 0.35;
/** The same for a model whose callers can wait for a load. */
const PATIENT_LOSS_SHARE_MAX = 0.2;
/** Loads that the weight store allows in a window beyond its rate; a count. */
const LOAD_FREE_COUNT = 3;
/** A replica serves for this long before its place may go to another model, in milliseconds. */
const RESIDENCE_MS = 3_000;
/** Demand above which a model that is nowhere gets a place, in tokens a second. */
const AWAITED_DEMAND = 200;
/** Share of an engine's tokens that a move must win to be worth its load. */
const GAIN_SHARE_MIN = 0.12;
/** Share of an engine's tokens that the last replica of a model is worth, asked for or not. */
const LAST_REPLICA_SHARE = 0.3;
/** Moves of one round, over all engines; a count. */
const MOVE_MAX = 6;
/** Part of the weight store's limit that is used: what an owner that died began last is not known. */
const LOAD_SHARE = 0.8;
/** Part of that which is kept for models that want more than their engines make. */
const LOAD_RESERVE_SHARE = 0.4;
/** Share of the engines that may change at a time, by what for: a changing engine can load nothing else. */
const changingShareMax: Readonly<Record<MoveReason, number>> = {
  [MoveReason.capacity]: 1,
  [MoveReason.forecast]: 0.75,
  [MoveReason.reach]: 1,
};
/** The same for a model that is nowhere and whose callers can wait. */
const RARE_CHANGING_SHARE_MAX = 0.34;
/** Time until the owner of an engine tells of a move, in milliseconds. */
const PENDING_MS = 1_200;
/** Bounds of an engine's speed against the usual one; a ratio. */
const SPEED_MIN = 0.3;
const SPEED_MAX = 1.5;
const BYTES_PER_MB = 1_000_000;
const MS_PER_SECOND = 1_000;

const nameOf = ({ name }: { readonly name: string }): string => name;

const median = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

/** What placement needs around it. */
interface PlacementContext {
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  readonly endpointsOf: (service: string) => readonly Endpoint[];
  readonly endpoint: (id: string) => Endpoint | undefined;
  /** What the owner of an engine tells of it, or `undefined` while it has none that is heard. */
  readonly engineState: (endpoint: string) => OwnedEngineState | undefined;
  /** Tells the owner of an engine to change its models. */
  readonly begin: (endpoint: string, move: EngineMove) => void;
  /** Demand of all instances by model. */
  readonly demand: () => ReadonlyMap<string, number>;
  /** Models that callers of any instance want an answer of sooner than a load takes. */
  readonly urgentModels: () => ReadonlySet<string>;
  /** Models that requests of any instance wait for. */
  readonly awaited: () => ReadonlySet<string>;
  readonly loadWindowMs: number;
  readonly loadSlackRatio: number;
}

/**
 * Follows demand with the models in the engines' memory. One instance plans for all engines, by what
 * all tell each other, and the owners of the engines carry the moves out.
 */
export class PlacementLoop {
  readonly #context: PlacementContext;
  /** When each replica was first seen, by engine and model. */
  #seenMs = new Map<string, number>();
  #stillSeenMs = new Map<string, number>();
  readonly #loads: LoadLedger;
  readonly #pending = new Map<string, EngineMove & { readonly untilMs: number }>();

  /** @param context - what placement needs around it */
  constructor(context: PlacementContext) {
    this.#context = context;
    this.#loads = new LoadLedger(context.loadWindowMs);
  }

  /**
   * Notes the loads that the owners tell of; whoever plans next goes on from there.
   *
   * @param config - the configuration in force
   */
  observe({ services }: ServingConfig): void {
    const { nowMs, endpointsOf, engineState } = this.#context;
    services.forEach(({ name, engine }) => {
      if (!engine) return;
      endpointsOf(name).forEach(({ id }) => {
        Object.entries(engineState(id)?.storeLoadAgesMs ?? {}).forEach(([model, ageMs]) =>
          this.#loads.note(id, model, nowMs() - ageMs),
        );
      });
    });
  }

  /** @param config - the configuration in force */
  tick(config: ServingConfig): void {
    const demand = this.#context.demand();
    this.#stillSeenMs = new Map();
    config.services.forEach(({ name, engine }) => {
      if (engine) this.#plan(name, engine, demand);
    });
    this.#seenMs = this.#stillSeenMs;
  }

  #plan(service: string, spec: EngineSpec, demand: ReadonlyMap<string, number>): void {
    const { nowMs, endpointsOf, begin, logger } = this.#context;
    const endpoints = endpointsOf(service).filter(
      ({ isLeaving, health }) => !isLeaving && !health.isDown(nowMs()),
    );
    const usualPaceMs = median(
      endpoints.map(({ health }) => health.paceMs(nowMs())).filter(Boolean),
    );
    const engines = endpoints
      .map((endpoint) => this.#engine(endpoint, spec, usualPaceMs))
      .sort((left, right) => (left.name < right.name ? -1 : 1));
    const models = this.#models(spec, demand, engines);
    const patient = new Set(models.filter(({ isPatient }) => isPatient).map(nameOf));
    const plan = planPlacement({
      models,
      engines,
      moveBudget: MOVE_MAX,
      gainShareMin: GAIN_SHARE_MIN,
      lossShareMax: LOSS_SHARE_MAX,
      patientLossShareMax: PATIENT_LOSS_SHARE_MAX,
      lastReplicaShare: LAST_REPLICA_SHARE,
    });
    plan.moves.forEach(({ engine, load, unload, reason, gain }) => {
      const changingCount = endpoints.filter(({ id }) => this.#isFixed(id)).length;
      const isRare = patient.has(load) && reason === MoveReason.reach;
      const shareMax = isRare ? RARE_CHANGING_SHARE_MAX : changingShareMax[reason];
      if (changingCount >= shareMax * endpoints.length) return;
      if (this.#isFixed(engine) || !this.#mayLoad(engine, load, spec, isRare)) return;
      this.#pending.set(engine, { load, unload, untilMs: nowMs() + PENDING_MS });
      begin(engine, { load, unload });
      logger.info('move', reason, {
        endpoint: engine,
        load,
        unload,
        gain: Math.round(gain),
        demand: Math.round(demand.get(load) ?? 0),
        servedShare: plan.servedShare,
      });
    });
  }

  #models(
    spec: EngineSpec,
    demand: ReadonlyMap<string, number>,
    engines: readonly { readonly tokensPerSecond: number }[],
  ) {
    const awaited = this.#context.awaited();
    const urgent = this.#context.urgentModels();
    const tokensPerSecond = engines.reduce((sum, engine) => sum + engine.tokensPerSecond, 0);
    const models = [...spec.models.values()].map(({ name, sizeMb }) => {
      const wanted = demand.get(name) ?? 0;
      const isPatient = wanted > 0 && !urgent.has(name);
      return {
        name,
        bytes: sizeMb * BYTES_PER_MB,
        isLabelled: false,
        // Callers in a hurry are refused while their model is absent, the others wait for it.
        isAwaited: awaited.has(name) || (!isPatient && wanted > AWAITED_DEMAND),
        isUrgent: urgent.has(name),
        isPatient,
        demand: wanted,
      };
    });
    const forecast = forecastDemand(models, tokensPerSecond);
    return models.map((model) => ({ ...model, forecast: forecast.get(model.name) }));
  }

  // An engine that nobody may give orders to, or that is being changed, stays as it is in the plan.
  #engine(endpoint: Endpoint, spec: EngineSpec, usualPaceMs: number) {
    const state = this.#context.engineState(endpoint.id);
    const pending = this.#pendingOf(endpoint.id);
    const listed = state?.models ?? endpoint.record.models.map(({ name }) => name);
    const loading = state?.loading.map(({ model }) => model) ?? [];
    if (pending) loading.push(pending.load);
    const leaving = new Set([...(state?.leaving ?? []), ...(pending?.unload ?? [])]);
    const models = [...new Set([...listed, ...loading])].filter((model) => !leaving.has(model));
    const isFixed = this.#isFixed(endpoint.id);
    const usedMb = models.reduce((sum, name) => sum + (spec.models.get(name)?.sizeMb ?? 0), 0);
    const capacityMb = isFixed ? usedMb : spec.memoryMb - PlacementLoop.#adapterMb(spec);
    return {
      name: endpoint.id,
      capacityBytes: capacityMb * BYTES_PER_MB,
      tokensPerSecond: ENGINE_TOKENS_PER_SECOND * UTILIZATION * this.#speed(endpoint, usualPaceMs),
      loadMsByModel: new Map(
        [...spec.models.values()].map((model) => [model.name, loadTimeMs(endpoint.record, model)]),
      ),
      models,
      ready: isFixed ? [] : models.filter((model) => this.#isSettled(endpoint.id, model)),
      otherBytes: 0,
    };
  }

  #isSettled(endpoint: string, model: string): boolean {
    const key = `${endpoint}/${model}`;
    const nowMs = this.#context.nowMs();
    const seenMs = this.#seenMs.get(key) ?? nowMs;
    this.#stillSeenMs.set(key, seenMs);
    return nowMs >= seenMs + RESIDENCE_MS;
  }

  // An engine that makes tokens slowly, by nature or because it is crowded, carries less.
  #speed({ health }: Endpoint, usualPaceMs: number): number {
    const paceMs = health.paceMs(this.#context.nowMs());
    if (paceMs === 0 || usualPaceMs === 0) return 1;
    return Math.min(SPEED_MAX, Math.max(SPEED_MIN, usualPaceMs / paceMs));
  }

  #isFixed(endpoint: string): boolean {
    const state = this.#context.engineState(endpoint);
    if (!state || state.isBusy || this.#pendingOf(endpoint)) return true;
    return state.leaving.length > 0 || state.loading.length > 0;
  }

  #pendingOf(endpoint: string): (EngineMove & { readonly untilMs: number }) | undefined {
    const pending = this.#pending.get(endpoint);
    if (!pending || this.#context.nowMs() < pending.untilMs) return pending;
    this.#pending.delete(endpoint);
    return undefined;
  }

  static #adapterMb(spec: EngineSpec): number {
    const largest = Math.max(0, ...[...spec.models.values()].map(({ adapterMb }) => adapterMb));
    return largest * spec.adapterSlotCount;
  }

  // Loads from the engine's own disk or memory do not touch the weight store.
  #mayLoad(engine: string, model: string, spec: EngineSpec, isRare: boolean): boolean {
    const { endpoint, nowMs, loadWindowMs, loadSlackRatio } = this.#context;
    const record = endpoint(engine)?.record;
    if (record?.hostModels.includes(model) || record?.diskModels.includes(model)) return true;
    const regular = (spec.storeLoadsPerSecond * loadWindowMs * loadSlackRatio) / MS_PER_SECOND;
    const allowed = Math.floor((regular + LOAD_FREE_COUNT) * LOAD_SHARE);
    const usable = isRare ? Math.ceil(allowed * (1 - LOAD_RESERVE_SHARE)) : allowed;
    if (this.#loads.count(nowMs()) >= Math.max(1, usable)) return false;
    // As many at a time as the store's rate keeps up with: beyond that each takes longer.
    const loadMs = spec.models.get(model)?.storeLoadMs ?? 0;
    const atOnce = Math.max(1, Math.round((spec.storeLoadsPerSecond * loadMs) / MS_PER_SECOND));
    if (this.#loads.count(nowMs(), Math.min(loadMs, loadWindowMs)) >= atOnce) return false;
    this.#loads.note(engine, model, nowMs());
    return true;
  }
}
