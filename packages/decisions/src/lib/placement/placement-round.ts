import { MoveReason } from './move-reason.js';
import { DemandAllocation } from './demand-allocation.js';
import type { PlacementInput } from './placement-input.js';
import type { PlacementOption } from './placement-option.js';

/**
 * Share of an engine's tokens per second that is planned for: the rest absorbs swings during loads.
 */
const TARGET_SHARE = 0.9;
/**
 * Penalty for each second until a load is done when engines and the replicas to unload are ranked, as a
 * share of the engine's tokens per second.
 */
const DELAY_SECOND_SHARE = 0.2;
/**
 * What the only replica of a requested model in a failure domain is worth beyond what it serves, as a share of
 * the engine's tokens per second.
 */
const SPREAD_SHARE = 0.05;
/** Typical time to load a model if the input states none, in milliseconds. */
const DEFAULT_LOAD_MS = 1_000;
/** Time for which a move gains what it gains at first, as a multiple of the load time: then demand has moved on. */
const GAIN_SPAN_LOADS = 5;
/** What the last replica of a model whose callers are only late after a load is worth, compared to others. */
const LATE_SHARE = 0.5;
/** What the last replica of a model that nobody has asked for is worth, compared to others without demand. */
const SPECULATIVE_SHARE = 0.5;
/**
 * Share of an engine's tokens per second up to which it takes a model without demand: while it loads
 * one it cannot load anything else.
 */
const RESIDENCE_LOAD_SHARE_MAX = 0.5;
/** Share of the memory of all engines up to which latency-tolerant models in turn take further replicas of others. */
const TOLERANT_MEMORY_SHARE = 0.25;
/** Precision of waits by which models without a replica are ordered, in milliseconds. */
const WAIT_STEP_MS = 1_000;
const MS_PER_SECOND = 1_000;

type Engine = PlacementInput['engines'][number];
type Model = PlacementInput['models'][number];

/** A replica that may be unloaded, with what it is worth in tokens per second. */
interface EvictableReplica {
  readonly model: Model;
  readonly value: number;
  /** Expected time to unload it, in milliseconds. */
  readonly unloadMs: number;
}

/** Replicas to unload for a load, with what they are worth together in tokens per second. */
interface Eviction {
  readonly models: readonly Model[];
  readonly value: number;
  /** The part of it that belongs to models that are not latency-tolerant. */
  readonly criticalValue: number;
  /** Expected time until all are unloaded, in milliseconds. */
  readonly unloadMs: number;
}

const NO_EVICTION: Eviction = { models: [], value: 0, criticalValue: 0, unloadMs: 0 };

/** Reasons whose moves may unload the same replicas. */
const evictionGroupOf = {
  [MoveReason.reach]: 'reach',
  [MoveReason.turn]: 'turn',
  [MoveReason.capacity]: 'others',
  [MoveReason.forecast]: 'others',
  [MoveReason.residence]: 'others',
} as const;

const lossWeightOf = ({ lossWeight = 1 }: Model): number => lossWeight;

// Demand decides between models that have waited about equally long.
const waitedMsOf = ({ waitedMs = 0 }: Model): number => Math.floor(waitedMs / WAIT_STEP_MS);

const forecastOf = ({ demand, forecast = demand }: Model): number => forecast;

// What a delay on an engine is worth, in tokens per second.
const delayCost = ({ tokensPerSecond }: Engine, delayMs: number): number =>
  (DELAY_SECOND_SHARE * tokensPerSecond * delayMs) / MS_PER_SECOND;

// An engine that can load from a nearby copy, and one that has no runs to finish before it unloads, serve
// seconds sooner than the others.
const scoreOf = ({ engine, gain, unloadMs }: PlacementOption, { name }: Model): number =>
  gain - delayCost(engine, (engine.loadMsByModel?.get(name) ?? 0) + unloadMs);

const unloadMsOf = ({ unloadMsByModel }: Engine, { name }: Model): number =>
  unloadMsByModel?.get(name) ?? 0;

/** The state of one planning round; each planned move updates it. */
export class PlacementRound {
  readonly #models: ReadonlyMap<string, Model>;
  readonly #engines: ReadonlyMap<string, Engine>;
  readonly #replicasByModel = new Map<string, Set<string>>();
  readonly #modelsByEngine = new Map<string, Set<string>>();
  /** Engines where each model can serve now: a replica that is still loading serves no request. */
  readonly #readyByModel = new Map<string, Set<string>>();
  readonly #gainShareMin: number;
  readonly #lossShareMax: number;
  readonly #lastReplicaShare: number;
  readonly #idleReplicaShare: number;
  readonly #latencyTolerantLossShareMax: number;
  readonly #loadMs: number;
  readonly #turnMs: number;
  /** Memory of all engines, in bytes. */
  readonly #capacityBytes: number;
  /** Memory of the replicas of latency-tolerant models, in bytes. */
  #tolerantBytes = 0;
  /**
   * Replicas that may be unloaded, by the reason of the move and by engine: they are the same for every model to
   * load, and kept until the next planned move.
   */
  readonly #evictableBy = {
    reach: new Map<Engine, readonly EvictableReplica[]>(),
    turn: new Map<Engine, readonly EvictableReplica[]>(),
    others: new Map<Engine, readonly EvictableReplica[]>(),
  };
  /** Free memory by engine, kept until the next planned move. */
  readonly #freeBytesByEngine = new Map<Engine, number>();
  /** Allocation of the present demand. */
  #demandAllocation: DemandAllocation;
  /** Allocation of the forecast demand. */
  #forecastAllocation: DemandAllocation;

  constructor({
    models,
    engines,
    gainShareMin,
    lossShareMax = Infinity,
    lastReplicaShare = 0,
    idleReplicaShare = lastReplicaShare,
    latencyTolerantLossShareMax = lossShareMax,
    typicalLoadMs = DEFAULT_LOAD_MS,
    turnMs = Infinity,
  }: PlacementInput & Required<Pick<PlacementInput, 'gainShareMin'>>) {
    this.#lastReplicaShare = lastReplicaShare;
    this.#idleReplicaShare = idleReplicaShare;
    this.#latencyTolerantLossShareMax = latencyTolerantLossShareMax;
    this.#gainShareMin = gainShareMin;
    this.#loadMs = typicalLoadMs;
    this.#turnMs = turnMs;
    this.#lossShareMax = lossShareMax;
    this.#models = new Map(models.map((model) => [model.name, model]));
    this.#engines = new Map(
      engines.map((engine) => [
        engine.name,
        { ...engine, tokensPerSecond: engine.tokensPerSecond * TARGET_SHARE },
      ]),
    );
    models.forEach(({ name }) => {
      this.#replicasByModel.set(name, new Set());
      this.#readyByModel.set(name, new Set());
    });
    engines.forEach((engine) => {
      this.#modelsByEngine.set(engine.name, new Set(engine.models));
      engine.models.forEach((model) => this.#replicasByModel.get(model)?.add(engine.name));
      engine.ready.forEach((model) => this.#readyByModel.get(model)?.add(engine.name));
    });
    this.#demandAllocation = this.#allocate(({ demand }) => demand);
    this.#forecastAllocation = this.#allocate(forecastOf);
    this.#capacityBytes = engines.reduce((sum, { capacityBytes }) => sum + capacityBytes, 0);
    this.#tolerantBytes = engines
      .flatMap((engine) => engine.models)
      .reduce((sum, name) => sum + this.#tolerantBytesOf(name), 0);
  }

  get unserved(): number {
    return this.#demandAllocation.unserved;
  }

  /** Whether a latency-tolerant model without a replica has waited so long that others wait for it now. */
  isInTurn({ isLatencyTolerant, waitedMs = 0 }: Model): boolean {
    return isLatencyTolerant === true && waitedMs >= this.#turnMs;
  }

  /**
   * Models that need a replica and have none: latency-critical ones first, then those that have waited
   * longest, then those with the highest demand.
   */
  unreachable(): Model[] {
    return [...this.#models.values()]
      .filter(({ mustStayResident, hasWaitingRequests }) => mustStayResident || hasWaitingRequests)
      .filter(({ name }) => this.#replicasByModel.get(name)?.size === 0)
      .sort(
        (left, right) =>
          Number(left.isLatencyTolerant === true) - Number(right.isLatencyTolerant === true) ||
          waitedMsOf(right) - waitedMsOf(left) ||
          lossWeightOf(right) * right.demand - lossWeightOf(left) * left.demand,
      );
  }

  /** Models without any replica, those with the highest demand first. */
  absent(): Model[] {
    return [...this.#models.values()]
      .filter(({ name }) => this.#replicasByModel.get(name)?.size === 0)
      .sort((left, right) => right.demand - left.demand);
  }

  /** Engines that are not busy and have free memory for a replica of a model, the best first. */
  vacancies(model: Model): PlacementOption[] {
    const vacant = [...this.#engines.values()].filter(
      (engine) =>
        this.#freeBytes(engine) >= model.bytes &&
        (this.#demandAllocation.loadByEngine.get(engine.name) ?? 0) <=
          RESIDENCE_LOAD_SHARE_MAX * engine.tokensPerSecond,
    );
    return this.#optionsAmong(vacant, model, MoveReason.reach, this.#gainShareMin);
  }

  /** Tokens per second of the fastest engine, after the reserve for swings. */
  get fastestTokensPerSecond(): number {
    return Math.max(
      0,
      ...[...this.#engines.values()].map(({ tokensPerSecond }) => tokensPerSecond),
    );
  }

  /** Models whose unserved demand exceeds `unservedMin` tokens per second, those whose callers lose most first. */
  underserved(unservedMin: number, isForecast: boolean): Model[] {
    const allocation = this.#allocationOf(isForecast);
    const unserved = ({ name }: Model): number => allocation.unservedByModel.get(name) ?? 0;
    const loss = (model: Model): number => lossWeightOf(model) * unserved(model);
    return [...this.#models.values()]
      .filter((model) => unserved(model) > unservedMin)
      .sort((left, right) => loss(right) - loss(left));
  }

  /** Engines that could take a further replica of a model, the best first. */
  options(model: Model, reason: MoveReason, gainShareMin = this.#gainShareMin): PlacementOption[] {
    return this.#optionsAmong([...this.#engines.values()], model, reason, gainShareMin);
  }

  /** Updates the state by a planned move. */
  apply(model: string, { engine, unload }: PlacementOption): void {
    this.#tolerantBytes += this.#tolerantBytesOf(model);
    unload.forEach((other) => {
      this.#tolerantBytes -= this.#tolerantBytesOf(other);
      this.#modelsByEngine.get(engine.name)?.delete(other);
      this.#replicasByModel.get(other)?.delete(engine.name);
      this.#readyByModel.get(other)?.delete(engine.name);
    });
    this.#modelsByEngine.get(engine.name)?.add(model);
    this.#replicasByModel.get(model)?.add(engine.name);
    Object.values(this.#evictableBy).forEach((evictable) => evictable.clear());
    this.#freeBytesByEngine.clear();
    this.#demandAllocation = this.#allocate(({ demand }) => demand);
    this.#forecastAllocation = this.#allocate(forecastOf);
  }

  /** Number of bytes by which a model exceeds the memory that the best engine could free for it. */
  shortfall({ bytes }: Model): number {
    const reclaimableBytes = [...this.#engines.values()].map((engine) => {
      const evictable = this.#evictable(engine, MoveReason.reach).reduce(
        (sum, { model }) => sum + model.bytes,
        0,
      );
      return this.#freeBytes(engine) + evictable;
    });
    return Math.max(0, bytes - Math.max(0, ...reclaimableBytes));
  }

  #optionsAmong(
    engines: readonly Engine[],
    model: Model,
    reason: MoveReason,
    gainShareMin: number,
  ): PlacementOption[] {
    return engines
      .flatMap((engine) => {
        const option = this.#option(model, engine, reason, gainShareMin);
        if (!option) return [];
        return { option, score: scoreOf(option, model) + this.#spreadValue(model, engine) };
      })
      .sort(
        (left, right) =>
          right.score - left.score ||
          this.#freeBytesAfter(right.option) - this.#freeBytesAfter(left.option),
      )
      .map(({ option }) => option);
  }

  #allocate(demandOf: (model: Model) => number): DemandAllocation {
    const models = [...this.#models.values()];
    const modelsWithDemand = models.map((model) => ({ ...model, demand: demandOf(model) }));
    return new DemandAllocation(modelsWithDemand, this.#engines, this.#replicasByModel);
  }

  #allocationOf(isForecast: boolean): DemandAllocation {
    return isForecast ? this.#forecastAllocation : this.#demandAllocation;
  }

  // A replica of a model on an engine, or `undefined` when it doesn't fit, gains too little or
  // costs the unloaded models too much.
  #option(
    model: Model,
    engine: Engine,
    reason: MoveReason,
    gainShareMin: number,
  ): PlacementOption | undefined {
    if (this.#modelsByEngine.get(engine.name)?.has(model.name)) return undefined;
    const eviction = this.#eviction(model, engine, reason);
    if (!eviction) return undefined;
    const allocation = this.#allocationOf(reason === MoveReason.forecast);
    const unserved = allocation.unservedByModel.get(model.name) ?? 0;
    const lost = eviction.value;
    const gain = lossWeightOf(model) * Math.min(unserved, allocation.spare(engine)) - lost;
    const { unloadMs } = eviction;
    const gainedShare = Math.max(0, 1 - unloadMs / (GAIN_SPAN_LOADS * this.#loadMs));
    const isGainEnough = gainedShare * gain >= gainShareMin * engine.tokensPerSecond;
    if (evictionGroupOf[reason] === 'others' && !isGainEnough) return undefined;
    const limitedLoss = reason === MoveReason.turn ? eviction.criticalValue : lost;
    if (limitedLoss > this.#lossShareLimit(model, reason) * engine.tokensPerSecond) {
      return undefined;
    }
    return { engine, unload: eviction.models.map(({ name }) => name), gain, unloadMs };
  }

  // A latency-tolerant model in turn takes the place of another one whatever that one's demand, and of a further
  // replica of any model as long as latency-tolerant ones have less than their share of the memory.
  #lossShareLimit({ isLatencyTolerant, bytes }: Model, reason: MoveReason): number {
    if (isLatencyTolerant !== true) return this.#lossShareMax;
    const hasRoom =
      this.#tolerantBytes === 0 ||
      this.#tolerantBytes + bytes <= TOLERANT_MEMORY_SHARE * this.#capacityBytes;
    const isFree = reason === MoveReason.turn && hasRoom;
    return isFree ? Infinity : this.#latencyTolerantLossShareMax;
  }

  // Value of a replica in tokens per second: its part of the model's demand, less what the model's
  // other engines could take over. The last replica has a value even without demand, since the
  // model's callers may turn out to be latency-critical. Requests that wait for another model outweigh
  // most of that: they are certain.
  #replicaValue(model: Model, engine: Engine, reason: MoveReason): number {
    const { name } = model;
    const others = [...(this.#replicasByModel.get(name) ?? [])].filter(
      (other) => other !== engine.name,
    );
    const spare = others.reduce((sum, other) => {
      const found = this.#engines.get(other);
      return sum + (found ? this.#forecastAllocation.spare(found) : 0);
    }, 0);
    const demandPerReplica = forecastOf(model) / (others.length + 1);
    const isIdle = reason === MoveReason.reach && forecastOf(model) === 0;
    const speculativeShare = model.isSpeculative === true ? SPECULATIVE_SHARE : 1;
    const lateShare = model.isLateAfterLoad === true ? LATE_SHARE : 1;
    const keptShare = isIdle ? this.#idleReplicaShare : this.#lastReplicaShare;
    const lastReplicaShare = speculativeShare * lateShare * keptShare;
    // Among latency-tolerant models, the one in turn takes the place of one that has had its turn.
    const isLateKept = model.isLateAfterLoad === true && reason !== MoveReason.turn;
    const isKept = model.isLatencyTolerant !== true || isLateKept;
    const isLastToKeep = others.length === 0 && isKept;
    const lastReplicaValue = isLastToKeep ? lastReplicaShare * engine.tokensPerSecond : 0;
    const served = lossWeightOf(model) * Math.max(0, demandPerReplica - spare);
    return served + lastReplicaValue + this.#spreadValue(model, engine);
  }

  // A wait as long as a load costs what a last replica does, which would have to be loaded again.
  #waitCost({ tokensPerSecond }: Engine, waitMs: number): number {
    return (this.#lastReplicaShare * tokensPerSecond * waitMs) / this.#loadMs;
  }

  // A failure domain that is cut off serves its own requests only for the models that it holds.
  #spreadValue(
    { name, demand }: Model,
    { failureDomain, tokensPerSecond, ...engine }: Engine,
  ): number {
    if (failureDomain === undefined || demand === 0) return 0;
    const isHeldBeside = [...(this.#replicasByModel.get(name) ?? [])].some(
      (other) => other !== engine.name && this.#engines.get(other)?.failureDomain === failureDomain,
    );
    return isHeldBeside ? 0 : SPREAD_SHARE * tokensPerSecond;
  }

  // Models to unload so that a model of `bytes` fits on an engine, the least valuable first;
  // `undefined` when it cannot fit.
  #eviction({ bytes }: Model, engine: Engine, reason: MoveReason): Eviction | undefined {
    let missing = bytes - this.#freeBytes(engine);
    if (missing <= 0) return NO_EVICTION;
    const models: Model[] = [];
    let value = 0;
    let criticalValue = 0;
    let unloadMs = 0;
    this.#evictable(engine, reason).forEach((replica) => {
      if (missing <= 0) return;
      models.push(replica.model);
      value += replica.value;
      if (replica.model.isLatencyTolerant !== true) criticalValue += replica.value;
      // The runs on all of them end side by side.
      unloadMs = Math.max(unloadMs, replica.unloadMs);
      missing -= replica.model.bytes;
    });
    return missing <= 0 ? { models, value, criticalValue, unloadMs } : undefined;
  }

  // Replicas that may be unloaded from an engine, the one first that is worth least and delays the load least.
  // Of equal ones, the one whose model has the most replicas comes first.
  #evictable(engine: Engine, reason: MoveReason): readonly EvictableReplica[] {
    const cache = this.#evictableBy[evictionGroupOf[reason]];
    const known = cache.get(engine);
    if (known) return known;
    const replicaCount = ({ name }: Model): number => this.#replicasByModel.get(name)?.size ?? 0;
    const replicas = this.#evictableModels(engine, reason)
      .map((model) => {
        const unloadMs = unloadMsOf(engine, model);
        const value = this.#replicaValue(model, engine, reason);
        return { model, value, unloadMs, cost: value + this.#waitCost(engine, unloadMs) };
      })
      .sort(
        (left, right) =>
          left.cost - right.cost || replicaCount(right.model) - replicaCount(left.model),
      );
    cache.set(engine, replicas);
    return replicas;
  }

  // The last ready replica of a model that a policy keeps resident is never unloaded, and a replica
  // that is still loading is not unloaded before it has served. The last ready replica of a model
  // that requests wait for is kept as well, unless the model is latency-tolerant and the move is
  // made for capacity or forecast; one whose callers are late after a load is kept by its value. The last ready
  // replica of a model whose refused callers are due to return is kept until then. A model in turn takes no last
  // replica with demand from a latency-critical one.
  #evictableModels(engine: Engine, reason: MoveReason): Model[] {
    return [...(this.#modelsByEngine.get(engine.name) ?? [])]
      .flatMap((name) => this.#models.get(name) ?? [])
      .filter((model) => {
        const { name, mustStayResident, hasWaitingRequests, isLatencyTolerant } = model;
        const ready = this.#readyByModel.get(name);
        const isLate = model.isLateAfterLoad === true;
        const canYield = isLatencyTolerant === true && (isLate || reason !== MoveReason.reach);
        const isInUse =
          reason === MoveReason.turn && isLatencyTolerant !== true && model.demand > 0;
        const isProtected =
          mustStayResident ||
          model.hasReturningCallers === true ||
          isInUse ||
          (hasWaitingRequests === true && !canYield);
        return ready?.has(engine.name) && (!isProtected || ready.size > 1);
      });
  }

  // Breaks ties between engines with equal scores: the one with the most free memory wins, which
  // leaves room to load a new version beside an old one.
  #freeBytesAfter({ engine, unload }: PlacementOption): number {
    const freed = unload.reduce((sum, name) => sum + (this.#models.get(name)?.bytes ?? 0), 0);
    return this.#freeBytes(engine) + freed;
  }

  // Bytes of a replica that count as memory of latency-tolerant models.
  #tolerantBytesOf(name: string): number {
    const model = this.#models.get(name);
    return model?.isLatencyTolerant === true ? model.bytes : 0;
  }

  #freeBytes(engine: Engine): number {
    const known = this.#freeBytesByEngine.get(engine);
    if (known !== undefined) return known;
    const held = [...(this.#modelsByEngine.get(engine.name) ?? [])];
    const bytes = held.reduce((sum, name) => sum + (this.#models.get(name)?.bytes ?? 0), 0);
    const freeBytes = engine.capacityBytes - engine.otherBytes - bytes;
    this.#freeBytesByEngine.set(engine, freeBytes);
    return freeBytes;
  }
}
