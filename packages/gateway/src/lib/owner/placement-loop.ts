import {
  forecastDemand,
  MoveReason,
  orderDelayMs,
  placementSteps,
  relativeWeights,
  ReplicaWaits,
  turnTimesMs,
} from '@chervilseam/decisions';
import type { EndedWait, PlacementInput, PlacementMove } from '@chervilseam/decisions';
import type { EngineSpec, ServingConfig } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { Endpoint } from '../feed/endpoint.js';
import type { EndpointLoad } from '../peer/endpoint-load.js';
import type { OwnedEngineState } from '../peer/owned-engine-state.js';
import { isFromStore } from './is-from-store.js';
import type { LoadContext } from './load-context.js';
import { loadsInProgress } from './loads-in-progress.js';
import { loadTimeMs } from './load-time-ms.js';
import type { EngineMove } from './engine-move.js';
import { PlannedState } from './planned-state.js';
import { PlannedLoads } from './planned-loads.js';
import { runInSlices } from './run-in-slices.js';
import { StoreLoads } from './store-loads.js';

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
/** Time that a replica serves before it may be unloaded for another model, in milliseconds. */
const RESIDENCE_MIN_MS = 3_000;
/**
 * Demand above which a model without a replica gets one although no request waits for it, unless its callers can
 * wait for a load, in prompt-token equivalents per second.
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
 * Greatest fraction of the engines that may be changing when a move begins, by the reason of the move.
 * A changing engine cannot load anything else.
 */
const changingShareMax: Readonly<Record<MoveReason, number>> = {
  [MoveReason.capacity]: 1,
  [MoveReason.forecast]: 0.75,
  [MoveReason.reach]: 1,
  [MoveReason.turn]: 1,
  [MoveReason.residence]: 0.34,
};
/** The same for moves for reach that load a latency-tolerant model. */
const TOLERANT_CHANGING_SHARE_MAX = 0.34;
/**
 * Greatest fraction of the engines, and of the loads that the weight store sustains at a time, that latency-tolerant
 * models use at a time when they are in turn.
 */
const TURN_SHARE_MAX = 0.34;
/**
 * Time that a requested move counts as pending, in milliseconds: by then the state that the engine's
 * owner publishes shows it.
 */
const PENDING_MS = 1_200;
/**
 * Shortest time after which an engine may be found for a model that none can take now, in milliseconds: another
 * load has ended by then.
 */
const SHORTFALL_MIN_MS = 1_500;
/** Bounds of the estimated time until an engine's change is done, in milliseconds. */
const CHANGE_MIN_MS = 100;
const CHANGE_MAX_MS = 1_500;
/** Limits of an engine's speed as a ratio to the median engine. */
const SPEED_MIN = 0.3;
const SPEED_MAX = 1.5;
/** Longest time for which planning holds up the event loop at a time, in milliseconds. */
const SLICE_MS = 8;
/** Greatest fraction of the processor's time that is spent on planning. */
const PLANNING_SHARE_MAX = 0.2;
/** Time for which a model without a replica waits before it is in turn, besides the time of a load, in milliseconds. */
const TURN_WAIT_MS = 8_000;
/** Longest time for which a model's first replica is kept for callers who have yet to return, in milliseconds. */
const RETURN_KEEP_MS = 6_000;
const MS_PER_SECOND = 1_000;
const BYTES_PER_MB = 1_000_000;

const nameOf = ({ name }: { readonly name: string }): string => name;

const median = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

/** Dependencies of the placement loop. */
interface PlacementContext {
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  readonly endpoints: () => readonly Endpoint[];
  readonly endpointsOf: (service: string) => readonly Endpoint[];
  readonly endpoint: (id: string) => Endpoint | undefined;
  /** State that the owner of an engine published, or `undefined` while no owner is reachable. */
  readonly engineState: (endpoint: string) => OwnedEngineState | undefined;
  /** Asks the owner of an engine to change its models. */
  readonly requestMove: (endpoint: string, move: EngineMove) => void;
  /** Demand of the callers of all instances by model, in prompt-token equivalents per second. */
  readonly demand: () => ReadonlyMap<string, number>;
  /** What the callers of each model lose for each token that is not served; 1 for a missing model. */
  readonly lossWeights: () => Readonly<Record<string, number>>;
  /** Latency-critical models: callers of any instance want an answer sooner than a load takes. */
  readonly urgentModels: () => ReadonlySet<string>;
  /** Models whose callers of any instance would be answered late if they waited for a load. */
  readonly lateAfterLoadModels: () => ReadonlySet<string>;
  /** Models that queued requests of any instance wait for. */
  readonly awaited: () => ReadonlySet<string>;
  /** Models whose callers any instance refused and who have yet to return. */
  readonly returning: () => ReadonlySet<string>;
  /** Those of them with a caller who returns before a load that begins now is done. */
  readonly returningSoon: () => ReadonlySet<string>;
  /** Requests of other instances that are in progress, by endpoint. */
  readonly peerLoads: () => Readonly<Record<string, EndpointLoad>>;
  /** Expected time to unload a model from an engine with those runs of other instances, in milliseconds. */
  readonly unloadMs: (endpoint: Endpoint, peerRuns: EndpointLoad['runs'], model: string) => number;
  /** Length of the window over which the weight store limits loads, in milliseconds. */
  readonly loadWindowMs: number;
  /** Factor that is applied to the number of loads that the store's rate allows in that window. */
  readonly loadSlackRatio: number;
  /** Called with the time that a round of planning took, in milliseconds. */
  readonly onPlanned: (busyMs: number) => void;
}

/** A move that was requested. */
interface PendingMove extends EngineMove {
  /** When its model is expected to serve, in milliseconds. */
  readonly readyMs: number;
  /** Until when the state that the owner publishes may not show it, in milliseconds. */
  readonly untilMs: number;
}

/** A service whose moves are begun. */
interface PlannedService {
  readonly spec: EngineSpec;
  readonly endpoints: readonly Endpoint[];
  /** Models that are not latency-critical. */
  readonly lowPriority: ReadonlySet<string>;
  readonly demand: ReadonlyMap<string, number>;
  /** Number of latency-tolerant models that are loaded at a time. */
  readonly turnMax: number;
  /** Latency-tolerant models whose moves are held back, in order. */
  readonly held: string[];
  /** Share of the demand that can be served once all moves are done. */
  readonly servedShare: number;
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
  readonly #loadContext: LoadContext;
  readonly #storeLoads: StoreLoads;
  #isPlanning = false;
  /** When the next round may begin, in milliseconds. */
  #nextRoundMs = -Infinity;
  /** Requested moves that the owner may not have published yet, by engine. */
  readonly #pending = new Map<string, PendingMove>();
  readonly #planned = new PlannedLoads();
  readonly #waits = new ReplicaWaits();
  /** Waits that ended when they were last observed; the instance that plans logs them. */
  #endedWaits: readonly EndedWait[] = [];
  /** Models that were loaded only since there was free memory, and that no request has asked for since. */
  readonly #speculative = new Set<string>();

  /** @param context - dependencies of the loop */
  constructor(context: PlacementContext) {
    this.#context = context;
    this.#loadContext = { ...context, pendingOf: (engine) => this.#pendingOf(engine) };
    this.#storeLoads = new StoreLoads({ ...context, ...this.#loadContext });
  }

  /**
   * Records the loads from the weight store that the engines' owners published, and how long models without a
   * replica have been requested. All instances do so, because any of them may have to plan next.
   *
   * @param config - the configuration in force
   */
  observe({ services }: ServingConfig): void {
    const { nowMs, endpointsOf, engineState } = this.#context;
    services.forEach(({ name, engine }) => {
      if (!engine) return;
      endpointsOf(name).forEach(({ id }) => {
        Object.entries(engineState(id)?.storeLoadAgesMs ?? {}).forEach(([model, ageMs]) =>
          this.#storeLoads.record(id, model, nowMs() - ageMs),
        );
      });
    });
    // The demand for a model fades while its callers wait to return, but its wait goes on.
    const requested = new Set([...this.#requested(), ...this.#context.returning()]);
    this.#endedWaits = this.#waits.observe({ requested, ready: this.#readyModels() }, nowMs());
  }

  /** Expected time until each model that is planned to be loaded can serve, in milliseconds. */
  get planned(): Readonly<Record<string, number>> {
    return this.#planned.remainingMs(this.#context.nowMs());
  }

  /**
   * Plans one round of moves and requests them from the engines' owners, unless a round is under way or
   * the last round took so long that planning would exceed its share of the processor.
   *
   * @param config - the configuration in force
   */
  async tick(config: ServingConfig): Promise<void> {
    const { nowMs, demand, onPlanned } = this.#context;
    this.#endedWaits.forEach((wait) => this.#logWait(wait));
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

  #logWait({ model, waitedMs, isReady }: EndedWait): void {
    const text = isReady
      ? 'a model has got a replica'
      : 'callers gave up a model without a replica';
    this.#context.logger.info('replica_wait_ended', text, {
      model,
      waitedMs: Math.round(waitedMs),
      isReady,
    });
  }

  // Models that callers ask for now: requests that a load of their model would make late are refused while it has no
  // replica, or before it is due, so none of them is queued, and its demand decides instead.
  #requested(): ReadonlySet<string> {
    const { awaited, lateAfterLoadModels, demand } = this.#context;
    const tokens = demand();
    const late = [...lateAfterLoadModels()].filter(
      (model) => (tokens.get(model) ?? 0) > AWAITED_DEMAND,
    );
    return new Set([...awaited(), ...late]);
  }

  #readyModels(): ReadonlySet<string> {
    const { endpoints, engineState } = this.#context;
    return new Set(endpoints().flatMap(({ id }) => engineState(id)?.models ?? []));
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
    const { nowMs, endpointsOf } = this.#context;
    const startMs = nowMs();
    const endpoints = endpointsOf(service).filter(
      ({ isLeaving, health }) => !isLeaving && !health.isDown(nowMs()),
    );
    const medianInterEventMs = median(
      endpoints.map(({ health }) => health.interEventMs(nowMs())).filter(Boolean),
    );
    const peerLoads = this.#context.peerLoads();
    const engines = endpoints
      .map((endpoint) =>
        this.#engine(endpoint, spec, medianInterEventMs, peerLoads[endpoint.id]?.runs),
      )
      .sort((left, right) => (left.name < right.name ? -1 : 1));
    const typicalLoadMs = PlacementLoop.#typicalLoadMs(spec);
    const turnMs = TURN_WAIT_MS + typicalLoadMs;
    const models = this.#models(spec, demand, engines, turnMs);
    const lowPriority = new Set(models.filter(({ isCritical }) => !isCritical).map(nameOf));
    const turnMax = PlacementLoop.#turnMax(spec, endpoints.length, typicalLoadMs);
    const input: PlacementInput = {
      models,
      engines,
      moveBudget: MOVE_MAX,
      turnMs,
      turnMoveMax: Math.max(0, turnMax - this.#remainingMs(endpoints, lowPriority).length),
      gainShareMin: GAIN_SHARE_MIN,
      typicalLoadMs,
      lossShareMax: LOSS_SHARE_MAX,
      latencyTolerantLossShareMax: TOLERANT_LOSS_SHARE_MAX,
      lastReplicaShare: LAST_REPLICA_SHARE,
      idleReplicaShare: IDLE_REPLICA_SHARE,
    };
    this.#storeLoads.observe(endpoints, spec);
    const preparedMs = nowMs() - startMs;
    const { value: plan, busyMs } = await runInSlices(placementSteps(input), {
      nowMs,
      sliceMs: SLICE_MS,
    });
    const planned: PlannedService = {
      turnMax,
      held: [],
      spec,
      endpoints,
      lowPriority,
      demand,
      servedShare: plan.servedShare,
    };
    plan.moves.forEach((move) => this.#begin(move, planned));
    this.#announceQueue(plan.queued, planned);
    plan.shortfalls
      .filter(({ model }) => !plan.queued.includes(model))
      .forEach(({ model, bytes }) => this.#noteShortfall(model, bytes, spec));
    return preparedMs + busyMs;
  }

  // Requests a move from the engine's owner, or holds it back while as many engines are changing, or as many
  // models are loading, as may be at a time.
  #begin(move: PlacementMove, service: PlannedService): void {
    const { nowMs, logger } = this.#context;
    const { engine, load, unload, unloadMs, reason, gain } = move;
    if (this.#isFixed(engine)) return;
    const { heldMs, heldBy } = this.#hold(move, service);
    // Only a model without a replica has callers who wait for its load.
    const isFirst = reason === MoveReason.reach || reason === MoveReason.turn;
    if (heldMs > 0 && !isFirst) return;
    const isQueued = heldMs > 0 && service.lowPriority.has(load);
    if (isQueued) service.held.push(load);
    const turnMs = isQueued ? (this.#turnTimesMs(service.held, service).at(-1) ?? 0) : 0;
    const readyInMs = Math.max(turnMs, heldMs + this.#durationMs(move, service.spec));
    const readyMs = Math.round(nowMs() + readyInMs);
    const fields = {
      endpoint: engine,
      load,
      unload,
      unloadMs: Math.round(unloadMs),
      heldMs: Math.round(heldMs),
      waitedMs: Math.round(this.#waits.waitedMs(load, nowMs())),
      readyInMs: Math.round(readyMs - nowMs()),
      gain: Math.round(gain),
      demand: Math.round(service.demand.get(load) ?? 0),
      servedShare: service.servedShare,
    };
    const isNew = this.#planned.add(
      load,
      readyMs,
      heldMs > 0 ? PlannedState.held : PlannedState.begun,
    );
    if (heldMs === 0) this.#request(move, readyMs);
    if (heldMs === 0) logger.info('move', reason, fields);
    else if (isNew) logger.info('move_held', reason, { ...fields, heldBy });
  }

  // Time until a move may begin, in milliseconds, and which limit holds it back until then.
  #hold(move: PlacementMove, service: PlannedService): { heldMs: number; heldBy: string } {
    const { load, reason } = move;
    const isUncriticalReach = service.lowPriority.has(load) && reason === MoveReason.reach;
    const isLowPriority = isUncriticalReach || reason === MoveReason.residence;
    const shareMax = isUncriticalReach ? TOLERANT_CHANGING_SHARE_MAX : changingShareMax[reason];
    const changeMs = this.#changeDelayMs(service.endpoints, shareMax);
    const storeMs = this.#storeDelayMs(move, service, isLowPriority);
    return changeMs > storeMs
      ? { heldMs: changeMs, heldBy: 'changing engines' }
      : { heldMs: storeMs, heldBy: 'weight store' };
  }

  #request({ engine, load, unload, unloadMs, reason }: PlacementMove, readyMs: number): void {
    const { nowMs, requestMove, endpoint } = this.#context;
    const record = endpoint(engine)?.record;
    if (record && isFromStore(record, load)) this.#storeLoads.record(engine, load, nowMs());
    if (reason === MoveReason.residence) this.#speculative.add(load);
    const move = { load, unload, unloadMs: Math.round(unloadMs) };
    this.#pending.set(engine, { ...move, readyMs, untilMs: nowMs() + PENDING_MS });
    requestMove(engine, move);
  }

  // Publishes when latency-tolerant models that are not planned yet are expected to serve: Retry-After follows it.
  #announceQueue(queue: readonly string[], service: PlannedService): void {
    const { nowMs, logger } = this.#context;
    const timesMs = this.#turnTimesMs([...service.held, ...queue], service);
    queue.forEach((load, index) => {
      const place = service.held.length + index;
      const readyInMs = timesMs[place];
      if (!this.#planned.add(load, nowMs() + readyInMs, PlannedState.queued)) return;
      logger.info('move_queued', 'a model without a replica waits for its turn', {
        load,
        place,
        readyInMs: Math.round(readyInMs),
        waitedMs: Math.round(this.#waits.waitedMs(load, nowMs())),
      });
    });
  }

  // Expected time until each model of a queue can serve, in milliseconds.
  #turnTimesMs(
    queue: readonly string[],
    { spec, endpoints, lowPriority, turnMax }: PlannedService,
  ): number[] {
    return turnTimesMs({
      loadsMs: queue.map((load) => spec.models.get(load)?.storeLoadMs ?? 0),
      remainingMs: this.#remainingMs(endpoints, lowPriority),
      countMax: turnMax,
    });
  }

  // Time until each load of one of some models that was requested or is in progress is done, in milliseconds.
  #remainingMs(endpoints: readonly Endpoint[], models: ReadonlySet<string>): number[] {
    return endpoints
      .flatMap((endpoint) => loadsInProgress(endpoint, this.#loadContext))
      .flatMap(({ model, remainingMs }) => (models.has(model) ? [Math.max(0, remainingMs)] : []));
  }

  // No engine can take the model now: its callers are told when a place may be found.
  #noteShortfall(load: string, missingBytes: number, spec: EngineSpec): void {
    const loadMs = spec.models.get(load)?.storeLoadMs ?? 0;
    const retryInMs = Math.max(SHORTFALL_MIN_MS, loadMs);
    const readyMs = this.#context.nowMs() + retryInMs + loadMs;
    const isNew = this.#planned.add(load, readyMs, PlannedState.missing);
    if (!isNew) return;
    const waitedMs = Math.round(this.#waits.waitedMs(load, this.#context.nowMs()));
    const fields = { load, missingBytes, retryInMs, waitedMs };
    this.#context.logger.info('move_missing', 'no engine can take a model', fields);
  }

  // Time until fewer than a fraction of the engines are changing, as far as known, in milliseconds.
  #changeDelayMs(endpoints: readonly Endpoint[], shareMax: number): number {
    const changing = endpoints.filter(({ id }) => this.#isFixed(id));
    if (changing.length < shareMax * endpoints.length) return 0;
    const leftMs = changing.flatMap(({ id }) =>
      (this.#context.engineState(id)?.loading ?? []).map(({ remainingMs }) => remainingMs),
    );
    return Math.max(CHANGE_MIN_MS, Math.min(...leftMs, CHANGE_MAX_MS));
  }

  // Expected time from the decision on a move until its model can serve, in milliseconds.
  #durationMs({ engine, load, unload, unloadMs }: PlacementMove, spec: EngineSpec): number {
    const record = this.#context.endpoint(engine)?.record;
    const model = spec.models.get(load);
    const loadMs = record && model ? loadTimeMs(record, model) : 0;
    return orderDelayMs(unload.length, unloadMs) + loadMs;
  }

  #models(
    spec: EngineSpec,
    demand: ReadonlyMap<string, number>,
    engines: readonly { readonly tokensPerSecond: number }[],
    turnMs: number,
  ) {
    const { nowMs } = this.#context;
    const requested = this.#requested();
    const returning = this.#context.returning();
    const soon = new Set([...this.#context.awaited(), ...this.#context.returningSoon()]);
    const urgent = this.#context.urgentModels();
    const lateAfterLoad = this.#context.lateAfterLoadModels();
    const tokensPerSecond = engines.reduce((sum, engine) => sum + engine.tokensPerSecond, 0);
    const models = [...spec.models.values()].map(({ name, sizeMb }) => {
      const tokenDemand = demand.get(name) ?? 0;
      const waitedMs = this.#waits.waitedMs(name, nowMs());
      const isInTurn = waitedMs >= turnMs;
      const isLatencyTolerant = (tokenDemand > 0 || isInTurn) && !urgent.has(name);
      if (tokenDemand > 0) this.#speculative.delete(name);
      return {
        name,
        bytes: sizeMb * BYTES_PER_MB,
        mustStayResident: false,
        hasWaitingRequests: requested.has(name) || isInTurn,
        // Callers who have not come by then are late, and others wait.
        hasReturningCallers:
          isLatencyTolerant &&
          returning.has(name) &&
          this.#waits.readyMs(name, nowMs()) < RETURN_KEEP_MS,
        waitedMs,
        hasCallersSoon: soon.has(name),
        isCritical: urgent.has(name),
        isLateAfterLoad: lateAfterLoad.has(name) && !urgent.has(name),
        isSpeculative: this.#speculative.has(name),
        isLatencyTolerant,
        demand: tokenDemand,
      };
    });
    const forecast = forecastDemand(models, tokensPerSecond);
    const weights = this.#context.lossWeights();
    const lossWeights = relativeWeights(
      models.map(({ name, demand: tokens }) => ({ name, demand: tokens, weight: weights[name] })),
    );
    return models.map((model) => ({
      ...model,
      forecast: forecast.get(model.name),
      lossWeight: lossWeights.get(model.name),
    }));
  }

  // An engine without a reachable owner, or one that is being changed, is given to the planner without
  // free memory and without models that may be unloaded, so that the plan leaves it as it is.
  #engine(
    endpoint: Endpoint,
    spec: EngineSpec,
    medianInterEventMs: number,
    peerRuns: EndpointLoad['runs'],
  ) {
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
      failureDomain: endpoint.record.failureDomain,
      capacityBytes: capacityMb * BYTES_PER_MB,
      tokensPerSecond:
        ENGINE_TOKENS_PER_SECOND * UTILIZATION * this.#speed(endpoint, medianInterEventMs),
      loadMsByModel: {
        get: (name: string) => {
          const model = spec.models.get(name);
          return model && loadTimeMs(endpoint.record, model);
        },
      },
      unloadMsByModel: {
        get: (name: string) => this.#context.unloadMs(endpoint, peerRuns, name),
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

  #pendingOf(endpoint: string): PendingMove | undefined {
    const pending = this.#pending.get(endpoint);
    if (!pending || this.#context.nowMs() < pending.untilMs) return pending;
    this.#pending.delete(endpoint);
    return undefined;
  }

  // Number of latency-tolerant models in turn that may be loaded at a time.
  static #turnMax(spec: EngineSpec, engineCount: number, typicalLoadMs: number): number {
    const sustainedCount = (spec.storeLoadsPerSecond * typicalLoadMs) / MS_PER_SECOND;
    return Math.max(1, Math.floor(TURN_SHARE_MAX * Math.min(engineCount, sustainedCount)));
  }

  // Mean time to load a model from the weight store, in milliseconds.
  static #typicalLoadMs({ models }: EngineSpec): number {
    if (models.size === 0) return 1;
    const sumMs = [...models.values()].reduce((sum, { storeLoadMs }) => sum + storeLoadMs, 0);
    return Math.max(1, sumMs / models.size);
  }

  // Memory that is kept free for adapters: all slots filled with the largest one.
  static #adapterMb(spec: EngineSpec): number {
    const largest = Math.max(0, ...[...spec.models.values()].map(({ adapterMb }) => adapterMb));
    return largest * spec.adapterSlotCount;
  }

  // Time until the weight store's limit permits the load, in milliseconds. Loads from the engine's own disk or
  // host memory are always permitted.
  #storeDelayMs(
    { engine, load, reason }: PlacementMove,
    { spec, endpoints }: PlannedService,
    isLowPriority: boolean,
  ): number {
    const record = this.#context.endpoint(engine)?.record;
    if (!record || !isFromStore(record, load)) return 0;
    const canBeLate = reason === MoveReason.forecast || reason === MoveReason.residence;
    return this.#storeLoads.delayMs({ load, isLowPriority, canBeLate }, endpoints, spec);
  }
}
