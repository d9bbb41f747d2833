import { MoveReason } from './move-reason.js';
import { DemandAllocation } from './demand-allocation.js';
import type { PlacementInput } from './placement-input.js';
import type { PlacementMove } from './placement-move.js';
import type { PlacementPlan } from './placement-plan.js';

/**
 * Share of an engine's tokens per second that is planned for: the rest absorbs swings during loads.
 */
const TARGET_SHARE = 0.9;
/**
 * Least gain of a move, as a share of the engine's tokens per second: less is not worth the load
 * time.
 */
const GAIN_SHARE_MIN = 0.01;
/**
 * A move for present demand that gains this many times the least gain comes before moves for
 * forecast demand.
 */
const LARGE_GAIN_FACTOR = 3;
/** Largest number of alternative engines that a move lists. */
const ALTERNATIVE_COUNT = 4;
/**
 * Penalty for each second of load time when engines are ranked, as a share of the engine's tokens
 * per second.
 */
const LOAD_SECOND_SHARE = 0.2;
/**
 * Share of an engine's tokens per second up to which it takes a model without demand: while it loads
 * one it cannot load anything else.
 */
const RESIDENCE_LOAD_SHARE_MAX = 0.5;
const MS_PER_SECOND = 1_000;

type Engine = PlacementInput['engines'][number];
type Model = PlacementInput['models'][number];

/** An engine that could take a replica, with the models to unload first. */
interface Option {
  readonly engine: Engine;
  readonly unload: readonly string[];
  /** Tokens per second that the move adds, less those that the unloaded replicas made. */
  readonly gain: number;
}

/** A replica that may be unloaded, with what it is worth in tokens per second. */
interface EvictableReplica {
  readonly model: Model;
  readonly value: number;
}

/** Replicas to unload for a load, with what they are worth together in tokens per second. */
interface Eviction {
  readonly models: readonly Model[];
  readonly value: number;
}

const NO_EVICTION: Eviction = { models: [], value: 0 };

const forecastOf = ({ demand, forecast = demand }: Model): number => forecast;

// An engine that can load from a nearby copy serves seconds sooner than one that loads from the
// weight store.
const scoreOf = ({ engine, gain }: Option, { name }: Model): number => {
  const loadMs = engine.loadMsByModel?.get(name) ?? 0;
  return gain - (LOAD_SECOND_SHARE * engine.tokensPerSecond * loadMs) / MS_PER_SECOND;
};

/** The state of one planning round; each planned move updates it. */
class PlacementRound {
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
  /**
   * Replicas that may be unloaded, by engine, for moves for reach and for all others: they are the same for
   * every model to load, and kept until the next planned move.
   */
  readonly #evictableForReach = new Map<Engine, readonly EvictableReplica[]>();
  readonly #evictableForOthers = new Map<Engine, readonly EvictableReplica[]>();
  /** Free memory by engine, kept until the next planned move. */
  readonly #freeBytesByEngine = new Map<Engine, number>();
  /** Allocation of the present demand. */
  #demandAllocation: DemandAllocation;
  /** Allocation of the forecast demand. */
  #forecastAllocation: DemandAllocation;

  constructor({
    models,
    engines,
    gainShareMin = GAIN_SHARE_MIN,
    lossShareMax = Infinity,
    lastReplicaShare = 0,
    idleReplicaShare = lastReplicaShare,
    latencyTolerantLossShareMax = lossShareMax,
  }: PlacementInput) {
    this.#lastReplicaShare = lastReplicaShare;
    this.#idleReplicaShare = idleReplicaShare;
    this.#latencyTolerantLossShareMax = latencyTolerantLossShareMax;
    this.#gainShareMin = gainShareMin;
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
  }

  get unserved(): number {
    return this.#demandAllocation.unserved;
  }

  /**
   * Models that need a replica and have none: latency-critical ones first, then those with the
   * highest demand.
   */
  unreachable(): Model[] {
    return [...this.#models.values()]
      .filter(({ mustStayResident, hasWaitingRequests }) => mustStayResident || hasWaitingRequests)
      .filter(({ name }) => this.#replicasByModel.get(name)?.size === 0)
      .sort(
        (left, right) =>
          Number(left.isLatencyTolerant === true) - Number(right.isLatencyTolerant === true) ||
          right.demand - left.demand,
      );
  }

  /** Models without any replica, those with the highest demand first. */
  absent(): Model[] {
    return [...this.#models.values()]
      .filter(({ name }) => this.#replicasByModel.get(name)?.size === 0)
      .sort((left, right) => right.demand - left.demand);
  }

  /** Engines that are not busy and have free memory for a replica of a model, the best first. */
  vacancies(model: Model): Option[] {
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

  /** Models whose unserved demand exceeds `unservedMin` tokens per second, the largest first. */
  underserved(unservedMin: number, isForecast: boolean): Model[] {
    const allocation = this.#allocationOf(isForecast);
    const unserved = ({ name }: Model): number => allocation.unservedByModel.get(name) ?? 0;
    return [...this.#models.values()]
      .filter((model) => unserved(model) > unservedMin)
      .sort((left, right) => unserved(right) - unserved(left));
  }

  /** Engines that could take a further replica of a model, the best first. */
  options(model: Model, reason: MoveReason, gainShareMin = this.#gainShareMin): Option[] {
    return this.#optionsAmong([...this.#engines.values()], model, reason, gainShareMin);
  }

  /** Updates the state by a planned move. */
  apply(model: string, { engine, unload }: Option): void {
    unload.forEach((other) => {
      this.#modelsByEngine.get(engine.name)?.delete(other);
      this.#replicasByModel.get(other)?.delete(engine.name);
      this.#readyByModel.get(other)?.delete(engine.name);
    });
    this.#modelsByEngine.get(engine.name)?.add(model);
    this.#replicasByModel.get(model)?.add(engine.name);
    this.#evictableForReach.clear();
    this.#evictableForOthers.clear();
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
  ): Option[] {
    return engines
      .flatMap((engine) => {
        const option = this.#option(model, engine, reason, gainShareMin);
        return option ? { option, score: scoreOf(option, model) } : [];
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
  ): Option | undefined {
    if (this.#modelsByEngine.get(engine.name)?.has(model.name)) return undefined;
    const eviction = this.#eviction(model, engine, reason);
    if (!eviction) return undefined;
    const allocation = this.#allocationOf(reason === MoveReason.forecast);
    const unserved = allocation.unservedByModel.get(model.name) ?? 0;
    const lost = eviction.value;
    const gain = Math.min(unserved, allocation.spare(engine)) - lost;
    const isGainEnough = gain >= gainShareMin * engine.tokensPerSecond;
    if (reason !== MoveReason.reach && !isGainEnough) return undefined;
    const lossShareLimit =
      model.isLatencyTolerant === true ? this.#latencyTolerantLossShareMax : this.#lossShareMax;
    if (lost > lossShareLimit * engine.tokensPerSecond) return undefined;
    return { engine, unload: eviction.models.map(({ name }) => name), gain };
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
    const lastReplicaShare = isIdle ? this.#idleReplicaShare : this.#lastReplicaShare;
    const isLastToKeep = others.length === 0 && model.isLatencyTolerant !== true;
    const lastReplicaValue = isLastToKeep ? lastReplicaShare * engine.tokensPerSecond : 0;
    return Math.max(0, demandPerReplica - spare) + lastReplicaValue;
  }

  // Models to unload so that a model of `bytes` fits on an engine, the least valuable first;
  // `undefined` when it cannot fit.
  #eviction({ bytes }: Model, engine: Engine, reason: MoveReason): Eviction | undefined {
    let missing = bytes - this.#freeBytes(engine);
    if (missing <= 0) return NO_EVICTION;
    const models: Model[] = [];
    let value = 0;
    this.#evictable(engine, reason).forEach((replica) => {
      if (missing <= 0) return;
      models.push(replica.model);
      value += replica.value;
      missing -= replica.model.bytes;
    });
    return missing <= 0 ? { models, value } : undefined;
  }

  // Replicas that may be unloaded from an engine, the least valuable first. Of replicas with equal value,
  // the one whose model has the most replicas comes first.
  #evictable(engine: Engine, reason: MoveReason): readonly EvictableReplica[] {
    const cache =
      reason === MoveReason.reach ? this.#evictableForReach : this.#evictableForOthers;
    const known = cache.get(engine);
    if (known) return known;
    const replicaCount = ({ name }: Model): number => this.#replicasByModel.get(name)?.size ?? 0;
    const replicas = this.#evictableModels(engine, reason)
      .map((model) => ({ model, value: this.#replicaValue(model, engine, reason) }))
      .sort(
        (left, right) =>
          left.value - right.value || replicaCount(right.model) - replicaCount(left.model),
      );
    cache.set(engine, replicas);
    return replicas;
  }

  // The last ready replica of a model that a policy keeps resident is never unloaded, and a replica
  // that is still loading is not unloaded before it has served. The last ready replica of a model
  // that requests wait for is kept as well, unless the model is latency-tolerant and the move is
  // made for capacity or forecast.
  #evictableModels(engine: Engine, reason: MoveReason): Model[] {
    return [...(this.#modelsByEngine.get(engine.name) ?? [])]
      .flatMap((name) => this.#models.get(name) ?? [])
      .filter(({ name, mustStayResident, hasWaitingRequests, isLatencyTolerant }) => {
        const ready = this.#readyByModel.get(name);
        const canYield = isLatencyTolerant === true && reason !== MoveReason.reach;
        const isProtected = mustStayResident || (hasWaitingRequests === true && !canYield);
        return ready?.has(engine.name) && (!isProtected || ready.size > 1);
      });
  }

  // Breaks ties between engines with equal scores: the one with the most free memory wins, which
  // leaves room to load a new version beside an old one.
  #freeBytesAfter({ engine, unload }: Option): number {
    const freed = unload.reduce((sum, name) => sum + (this.#models.get(name)?.bytes ?? 0), 0);
    return this.#freeBytes(engine) + freed;
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

const toMove = (model: string, reason: MoveReason, options: readonly Option[]): PlacementMove => ({
  engine: options[0].engine.name,
  load: model,
  unload: options[0].unload,
  gain: options[0].gain,
  reason,
  alternatives: options
    .slice(1, 1 + ALTERNATIVE_COUNT)
    .map(({ engine, gain }) => ({ engine: engine.name, gain })),
});

/**
 * Plans one round of placement: replicas for models that have none, and further replicas for models
 * whose demand exceeds what their engines can serve. Moves with a small gain are not made, models
 * are unloaded only to make room for a load, and the plan is deterministic: every instance derives
 * the same plan from the same input.
 *
 * @param input - models, engines and the number of moves that may begin
 * @returns the moves, in the order in which to make them
 */
export function planPlacement(input: PlacementInput): PlacementPlan {
  const round = new PlacementRound(input);
  const moves: PlacementMove[] = [];
  const shortfalls: { model: string; bytes: number }[] = [];
  // Adds replicas of the models with the most unserved demand, as long as each move gains enough.
  const addReplicas = (
    reason: MoveReason,
    unservedMin: number,
    moveCountMax: number,
    gainShareMin?: number,
  ): void => {
    const skipped = new Set<string>();
    const isForecast = reason === MoveReason.forecast;
    const end = Math.min(input.moveBudget, moves.length + moveCountMax);
    while (moves.length < end) {
      const model = round
        .underserved(unservedMin, isForecast)
        .find(({ name }) => !skipped.has(name));
      if (!model) return;
      const options = round.options(model, reason, gainShareMin);
      if (options.length === 0) {
        skipped.add(model.name);
      } else {
        moves.push(toMove(model.name, reason, options));
        round.apply(model.name, options[0]);
      }
    }
  };
  // A model whose unserved demand exceeds a whole engine keeps more callers waiting than a rarely
  // requested model without a replica, so up to half of the moves go to such models first.
  addReplicas(MoveReason.capacity, round.fastestTokensPerSecond, Math.floor(input.moveBudget / 2));
  round.unreachable().forEach((model) => {
    const options = round.options(model, MoveReason.reach);
    if (options.length === 0) {
      shortfalls.push({ model: model.name, bytes: round.shortfall(model) });
      return;
    }
    if (moves.length >= input.moveBudget) return;
    moves.push(toMove(model.name, MoveReason.reach, options));
    round.apply(model.name, options[0]);
  });
  // Moves with a small present gain come after those for the forecast: they must not take an engine
  // that is needed within a few seconds.
  const largeGainShareMin = LARGE_GAIN_FACTOR * (input.gainShareMin ?? GAIN_SHARE_MIN);
  addReplicas(MoveReason.capacity, 0, input.moveBudget, largeGainShareMin);
  addReplicas(MoveReason.forecast, 0, input.moveBudget);
  addReplicas(MoveReason.capacity, 0, input.moveBudget);
  round.absent().forEach((model) => {
    const options = round.vacancies(model);
    if (options.length === 0 || moves.length >= input.moveBudget) return;
    moves.push(toMove(model.name, MoveReason.residence, options));
    round.apply(model.name, options[0]);
  });
  const totalDemand = input.models.reduce((sum, { demand }) => sum + demand, 0);
  const servedShare = totalDemand === 0 ? 1 : 1 - round.unserved / totalDemand;
  return { moves, shortfalls, servedShare };
}
