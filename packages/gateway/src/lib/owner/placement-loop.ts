import { forecastDemand, MoveReason, placementSteps, RecentLoads } from '@chervilseam/decisions';
import type { PlacementInput } from '@chervilseam/decisions';
import type { EngineSpec, ServingConfig } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { Endpoint } from '../feed/endpoint.js';
import type { OwnedEngineState } from '../peer/owned-engine-state.js';
import { loadTimeMs } from './load-time-ms.js';
import type { EngineMove } from './engine-move.js';
import { runInSlices } from './run-in-slices.js';

/**
 * Prompt tokens that an engine of typical speed reads per second: 38 per millisecond in the users' data
 * sheets.
 */
const ENGINE_TOKENS_PER_SECOND = 38_000;
/** Fraction of that rate that is planned for; an engine with more demand generates tokens slowly. */
const UTILIZATION = 0.9;
/**
 * Greatest loss that a move may cause by unloading models, as a fraction of the engine's token rate:
 * the demand that stays unserved, and what last replicas are worth without demand.
 */
const LOSS_SHARE_MAX = 0.35;
/** The same for a move that loads a latency-tolerant model: one whose callers can wait for a load. */
const TOLERANT_LOSS_SHARE_MAX = 0.2;
/** Number of loads that the weight store allows in a window in addition to its rate. */
const STORE_LOAD_BURST = 3;
/** Time that a replica serves before it may be unloaded for another model, in milliseconds. */
const RESIDENCE_MIN_MS = 3_000;
/**
 * Demand above which a latency-critical model without a replica gets one, in prompt-token equivalents
 * per second.
 */
const AWAITED_DEMAND = 200;
/** Fraction of an engine's token rate that a move must gain to be worth the time of its load. */
const GAIN_SHARE_MIN = 0.12;
/**
 * What the last replica of a model is worth even without demand, as a fraction of its engine's token
 * rate.
 */
const LAST_REPLICA_SHARE = 0.3;
/**
 * The same for a model without demand, when requests wait for another model that has no replica. Below
 * `TOLERANT_LOSS_SHARE_MAX`, so that a latency-tolerant model can take its place.
 */
const IDLE_REPLICA_SHARE = 0.1;
/** Greatest number of moves in one round, over all engines of a service. */
const MOVE_MAX = 6;
/**
 * Fraction of the weight store's limit that is used. The rest allows for loads that an owner began
 * just before it failed, which the other instances do not know of.
 */
const STORE_LIMIT_SHARE = 0.8;
/**
 * Fraction of the used part of that limit that is reserved for models with more demand than their
 * engines can serve. A low-priority move, which adds the first replica of a latency-tolerant model,
 * cannot use it.
 */
const STORE_RESERVE_SHARE = 0.4;
/**
 * Greatest fraction of the engines that may be changing when a move begins, by the reason of the move.
 * A changing engine cannot load anything else.
 */
const changingShareMax: Readonly<Record<MoveReason, number>> = {
  [MoveReason.capacity]: 1,
  [MoveReason.forecast]: 0.75,
  [MoveReason.reach]: 1,
  [MoveReason.residence]: 0.34,
};
/** The same for moves for reach that load a latency-tolerant model. */
const TOLERANT_CHANGING_SHARE_MAX = 0.34;
/**
 * Time that a requested move counts as pending, in milliseconds: by then the state that the engine's
 * owner publishes shows it.
 */
const PENDING_MS = 1_200;
/** Limits of an engine's speed as a ratio to the median engine. */
const SPEED_MIN = 0.3;
const SPEED_MAX = 1.5;
/** Longest time for which planning holds up the event loop at a time, in milliseconds. */
const SLICE_MS = 8;
/** Greatest fraction of the processor's time that is spent on planning. */
const PLANNING_SHARE_MAX = 0.2;
const BYTES_PER_MB = 1_000_000;
const MS_PER_SECOND = 1_000;

const nameOf = ({ name }: { readonly name: string }): string => name;

const median = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

/** Dependencies of the placement loop. */
interface PlacementContext {
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  readonly endpointsOf: (service: string) => readonly Endpoint[];
  readonly endpoint: (id: string) => Endpoint | undefined;
  /** State that the owner of an engine published, or `undefined` while no owner is reachable. */
  readonly engineState: (endpoint: string) => OwnedEngineState | undefined;
  /** Asks the owner of an engine to change its models. */
  readonly requestMove: (endpoint: string, move: EngineMove) => void;
  /** Demand of the callers of all instances by model, in prompt-token equivalents per second. */
  readonly demand: () => ReadonlyMap<string, number>;
  /** Latency-critical models: callers of any instance want an answer sooner than a load takes. */
  readonly urgentModels: () => ReadonlySet<string>;
  /** Models that queued requests of any instance wait for. */
  readonly awaited: () => ReadonlySet<string>;
  /** Length of the window over which the weight store limits loads, in milliseconds. */
  readonly loadWindowMs: number;
  /** Factor that is applied to the number of loads that the store's rate allows in that window. */
  readonly loadSlackRatio: number;
  /** Called with the time that a round of planning took, in milliseconds. */
  readonly onPlanned: (busyMs: number) => void;
}

/**
 * Adapts the models in the engines' memory to demand. One instance plans the moves for all engines from
 * the states that the instances publish, and the owners of the engines carry the moves out.
 */
export class PlacementLoop {
  readonly #context: PlacementContext;
  /** When each replica was first seen, by engine and model, in milliseconds. */
  #firstSeenMs = new Map<string, number>();
  /** The same, rebuilt by the current round from the replicas that still exist. */
  #nextFirstSeenMs = new Map<string, number>();
  readonly #loads: RecentLoads;
  #isPlanning = false;
  /** When the next round may begin, in milliseconds. */
  #nextRoundMs = -Infinity;
  /** Requested moves that the owner may not have published yet, by engine. */
  readonly #pending = new Map<string, EngineMove & { readonly untilMs: number }>();

  /** @param context - dependencies of the loop */
  constructor(context: PlacementContext) {
    this.#context = context;
    this.#loads = new RecentLoads(context.loadWindowMs);
  }

  /**
   * Records the loads from the weight store that the engines' owners published. All instances do so,
   * because any of them may have to plan next.
   *
   * @param config - the configuration in force
   */
  observe({ services }: ServingConfig): void {
    const { nowMs, endpointsOf, engineState } = this.#context;
    services.forEach(({ name, engine }) => {
      if (!engine) return;
      endpointsOf(name).forEach(({ id }) => {
        Object.entries(engineState(id)?.storeLoadAgesMs ?? {}).forEach(([model, ageMs]) =>
          this.#loads.record(id, model, nowMs() - ageMs),
        );
      });
    });
  }

  /**
   * Plans one round of moves and requests them from the engines' owners, unless a round is under way or
   * the last round took so long that planning would exceed its share of the processor.
   *
   * @param config - the configuration in force
   */
  async tick(config: ServingConfig): Promise<void> {
    const { nowMs, demand, onPlanned } = this.#context;
    if (this.#isPlanning || nowMs() < this.#nextRoundMs) return;
    this.#isPlanning = true;
    try {
      const startMs = nowMs();
      const busyMs = await this.#planServices(config, demand());
      this.#nextRoundMs = startMs + busyMs / PLANNING_SHARE_MAX;
      onPlanned(busyMs);
    } finally {
      this.#isPlanning = false;
    }
  }

  // Returns the time that planning took, in milliseconds.
  async #planServices(
    { services }: ServingConfig,
    demand: ReadonlyMap<string, number>,
  ): Promise<number> {
    let busyMs = 0;
    this.#nextFirstSeenMs = new Map();
    const withEngines = [...services.values()].flatMap(({ name, engine }) =>
      engine ? [{ name, engine }] : [],
    );
    for (let index = 0; index < withEngines.length; index += 1) {
      const { name, engine } = withEngines[index];
      // eslint-disable-next-line no-await-in-loop
      busyMs += await this.#plan(name, engine, demand);
    }
    this.#firstSeenMs = this.#nextFirstSeenMs;
    return busyMs;
  }

  // Returns the time that planning took, in milliseconds. What the plan is made from may have changed by its
  // end, so each move is checked again.
  async #plan(
    service: string,
    spec: EngineSpec,
    demand: ReadonlyMap<string, number>,
  ): Promise<number> {
    const { nowMs, endpointsOf, requestMove, logger } = this.#context;
    const startMs = nowMs();
    const endpoints = endpointsOf(service).filter(
      ({ isLeaving, health }) => !isLeaving && !health.isDown(nowMs()),
    );
    const medianInterEventMs = median(
      endpoints.map(({ health }) => health.interEventMs(nowMs())).filter(Boolean),
    );
    const engines = endpoints
      .map((endpoint) => this.#engine(endpoint, spec, medianInterEventMs))
      .sort((left, right) => (left.name < right.name ? -1 : 1));
    const models = this.#models(spec, demand, engines);
    const latencyTolerant = new Set(
      models.filter(({ isLatencyTolerant }) => isLatencyTolerant).map(nameOf),
    );
    const input: PlacementInput = {
      models,
      engines,
      moveBudget: MOVE_MAX,
      gainShareMin: GAIN_SHARE_MIN,
      lossShareMax: LOSS_SHARE_MAX,
      latencyTolerantLossShareMax: TOLERANT_LOSS_SHARE_MAX,
      lastReplicaShare: LAST_REPLICA_SHARE,
      idleReplicaShare: IDLE_REPLICA_SHARE,
    };
    const preparedMs = nowMs() - startMs;
    const { value: plan, busyMs } = await runInSlices(placementSteps(input), {
      nowMs,
      sliceMs: SLICE_MS,
    });
    plan.moves.forEach(({ engine, load, unload, reason, gain }) => {
      const changingCount = endpoints.filter(({ id }) => this.#isFixed(id)).length;
      const isTolerantReach = latencyTolerant.has(load) && reason === MoveReason.reach;
      const isLowPriority = isTolerantReach || reason === MoveReason.residence;
      const shareMax = isTolerantReach ? TOLERANT_CHANGING_SHARE_MAX : changingShareMax[reason];
      if (changingCount >= shareMax * endpoints.length) return;
      if (this.#isFixed(engine) || !this.#admitLoad(engine, load, spec, isLowPriority)) return;
      this.#pending.set(engine, { load, unload, untilMs: nowMs() + PENDING_MS });
      requestMove(engine, { load, unload });
      logger.info('move', reason, {
        endpoint: engine,
        load,
        unload,
        gain: Math.round(gain),
        demand: Math.round(demand.get(load) ?? 0),
        servedShare: plan.servedShare,
      });
    });
    return preparedMs + busyMs;
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
      const tokenDemand = demand.get(name) ?? 0;
      const isLatencyTolerant = tokenDemand > 0 && !urgent.has(name);
      return {
        name,
        bytes: sizeMb * BYTES_PER_MB,
        mustStayResident: false,
        // Latency-critical requests are refused while their model has no replica, so none of them is
        // queued. The model's demand decides instead.
        hasWaitingRequests:
          awaited.has(name) || (!isLatencyTolerant && tokenDemand > AWAITED_DEMAND),
        isCritical: urgent.has(name),
        isLatencyTolerant,
        demand: tokenDemand,
      };
    });
    const forecast = forecastDemand(models, tokensPerSecond);
    return models.map((model) => ({ ...model, forecast: forecast.get(model.name) }));
  }

  // An engine without a reachable owner, or one that is being changed, is given to the planner without
  // free memory and without models that may be unloaded, so that the plan leaves it as it is.
  #engine(endpoint: Endpoint, spec: EngineSpec, medianInterEventMs: number) {
    const state = this.#context.engineState(endpoint.id);
    const pending = this.#pendingOf(endpoint.id);
    const listed = state?.models ?? endpoint.record.models.map(({ name }) => name);
    const loading = state?.loading.map(({ model }) => model) ?? [];
    if (pending) loading.push(pending.load);
    const leaving = new Set([...(state?.leaving ?? []), ...(pending?.unload ?? [])]);
    const models = [...new Set([...listed, ...loading])].filter((model) => !leaving.has(model));
    const isFixed = this.#isFixed(endpoint.id);
    const usedMb = models.reduce((sum, name) => sum + (spec.models.get(name)?.sizeMb ?? 0), 0);
    // Nothing is placed beside a model whose size the configuration does not state.
    const hasUnknownModel = models.some((name) => !spec.models.has(name));
    const capacityMb = isFixed ? usedMb : spec.memoryMb - PlacementLoop.#adapterMb(spec);
    return {
      name: endpoint.id,
      capacityBytes: capacityMb * BYTES_PER_MB,
      tokensPerSecond:
        ENGINE_TOKENS_PER_SECOND * UTILIZATION * this.#speed(endpoint, medianInterEventMs),
      loadMsByModel: {
        get: (name: string) => {
          const model = spec.models.get(name);
          return model && loadTimeMs(endpoint.record, model);
        },
      },
      models,
      ready: isFixed ? [] : models.filter((model) => this.#isSettled(endpoint.id, model)),
      otherBytes: hasUnknownModel ? spec.memoryMb * BYTES_PER_MB : 0,
    };
  }

  // Whether a replica has served long enough to be unloaded for another model.
  #isSettled(endpoint: string, model: string): boolean {
    const key = `${endpoint}/${model}`;
    const nowMs = this.#context.nowMs();
    const firstSeenMs = this.#firstSeenMs.get(key) ?? nowMs;
    this.#nextFirstSeenMs.set(key, firstSeenMs);
    return nowMs >= firstSeenMs + RESIDENCE_MIN_MS;
  }

  // The engine's speed as a ratio to the median engine. One that generates tokens more slowly, because
  // of its hardware or its load, is planned to serve less.
  #speed({ health }: Endpoint, medianInterEventMs: number): number {
    const interEventMs = health.interEventMs(this.#context.nowMs());
    if (interEventMs === 0 || medianInterEventMs === 0) return 1;
    return Math.min(SPEED_MAX, Math.max(SPEED_MIN, medianInterEventMs / interEventMs));
  }

  // Whether no move may be requested for the engine now.
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

  // Memory that is kept free for adapters: all slots filled with the largest one.
  static #adapterMb(spec: EngineSpec): number {
    const largest = Math.max(0, ...[...spec.models.values()].map(({ adapterMb }) => adapterMb));
    return largest * spec.adapterSlotCount;
  }

  // Returns whether the weight store's limit permits the load, and records the load if it does. Loads
  // from the engine's own disk or host memory are always permitted.
  #admitLoad(engine: string, model: string, spec: EngineSpec, isLowPriority: boolean): boolean {
    const { endpoint, nowMs, loadWindowMs, loadSlackRatio } = this.#context;
    const record = endpoint(engine)?.record;
    if (record?.hostModels.includes(model) || record?.diskModels.includes(model)) return true;
    const sustained = (spec.storeLoadsPerSecond * loadWindowMs * loadSlackRatio) / MS_PER_SECOND;
    const allowed = Math.floor((sustained + STORE_LOAD_BURST) * STORE_LIMIT_SHARE);
    const usable = isLowPriority ? Math.ceil(allowed * (1 - STORE_RESERVE_SHARE)) : allowed;
    if (this.#loads.count(nowMs()) >= Math.max(1, usable)) return false;
    // More loads at a time than the store's rate sustains would only slow each of them down.
    const loadMs = spec.models.get(model)?.storeLoadMs ?? 0;
    const concurrentMax = Math.max(
      1,
      Math.round((spec.storeLoadsPerSecond * loadMs) / MS_PER_SECOND),
    );
    if (this.#loads.count(nowMs(), Math.min(loadMs, loadWindowMs)) >= concurrentMax) return false;
    this.#loads.record(engine, model, nowMs());
    return true;
  }
}
