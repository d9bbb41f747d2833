import { MoveReason } from './move-reason.js';
import { PlacementFlow } from './placement-flow.js';
import type { PlacementInput } from './placement-input.js';
import type { PlacementMove } from './placement-move.js';
import type { PlacementPlan } from './placement-plan.js';

/** Engines are filled up to this share, so that a swing finds some room while loads are under way. */
const TARGET_SHARE = 0.9;
/** A move must win this share of the engine's tokens a second to be worth its load time. */
const GAIN_SHARE_MIN = 0.01;
/** A gain this many times the least one goes before what is only expected. */
const LARGE_GAIN_FACTOR = 3;
const ALTERNATIVE_COUNT = 4;
/** Share of an engine's tokens that a second of loading costs in the choice among engines. */
const LOAD_SECOND_SHARE = 0.2;
const MS_PER_SECOND = 1_000;

type Engine = PlacementInput['engines'][number];
type Model = PlacementInput['models'][number];

interface Option {
  readonly engine: Engine;
  readonly unload: readonly string[];
  readonly gain: number;
}

const forecastOf = ({ demand, forecast = demand }: Model): number => forecast;

// A copy near the engine serves seconds sooner than the weight store.
const scoreOf = ({ engine, gain }: Option, { name }: Model): number => {
  const loadMs = engine.loadMsByModel?.get(name) ?? 0;
  return gain - (LOAD_SECOND_SHARE * engine.tokensPerSecond * loadMs) / MS_PER_SECOND;
};

/** One round of placement: the state that its moves change step by step. */
class PlacementRound {
  readonly #models: ReadonlyMap<string, Model>;
  readonly #engines: ReadonlyMap<string, Engine>;
  readonly #replicas = new Map<string, Set<string>>();
  readonly #held = new Map<string, Set<string>>();
  /** Engines where each model can serve now: a replica that is still loading saves nobody. */
  readonly #ready = new Map<string, Set<string>>();
  readonly #gainShareMin: number;
  readonly #lossShareMax: number;
  readonly #lastReplicaShare: number;
  readonly #patientLossShareMax: number;
  /** How today's demand spreads. */
  #flow: PlacementFlow;
  /** How the demand to prepare for spreads. */
  #outlook: PlacementFlow;

  constructor({
    models,
    engines,
    gainShareMin = GAIN_SHARE_MIN,
    lossShareMax = Infinity,
    lastReplicaShare = 0,
    patientLossShareMax = lossShareMax,
  }: PlacementInput) {
    this.#lastReplicaShare = lastReplicaShare;
    this.#patientLossShareMax = patientLossShareMax;
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
      this.#replicas.set(name, new Set());
      this.#ready.set(name, new Set());
    });
    engines.forEach((engine) => {
      this.#held.set(engine.name, new Set(engine.models));
      engine.models.forEach((model) => this.#replicas.get(model)?.add(engine.name));
      engine.ready.forEach((model) => this.#ready.get(model)?.add(engine.name));
    });
    this.#flow = this.#measure(({ demand }) => demand);
    this.#outlook = this.#measure(forecastOf);
  }

  get unserved(): number {
    return this.#flow.unserved;
  }

  /** Models without any replica that must have one: callers in a hurry first, then the most wanted. */
  unreachable(): Model[] {
    return [...this.#models.values()]
      .filter(({ isLabelled, isAwaited }) => isLabelled || isAwaited)
      .filter(({ name }) => this.#replicas.get(name)?.size === 0)
      .sort(
        (left, right) =>
          Number(left.isPatient === true) - Number(right.isPatient === true) ||
          right.demand - left.demand,
      );
  }

  /** Tokens a second of the fastest engine. */
  get largestEngine(): number {
    return Math.max(
      0,
      ...[...this.#engines.values()].map(({ tokensPerSecond }) => tokensPerSecond),
    );
  }

  /** Models that want more than their engines make by more than `restMin`, the largest rest first. */
  hungry(restMin: number, isForecast: boolean): Model[] {
    const flow = this.#flowOf(isForecast);
    const rest = ({ name }: Model): number => flow.unservedByModel.get(name) ?? 0;
    return [...this.#models.values()]
      .filter((model) => rest(model) > restMin)
      .sort((left, right) => rest(right) - rest(left));
  }

  /** Weighs all engines for a further replica of a model, the best first. */
  options(model: Model, reason: MoveReason, gainShareMin = this.#gainShareMin): Option[] {
    return [...this.#engines.values()]
      .flatMap((engine) => this.#option(model, engine, reason, gainShareMin) ?? [])
      .sort(
        (left, right) =>
          scoreOf(right, model) - scoreOf(left, model) ||
          this.#freeAfter(right) - this.#freeAfter(left),
      );
  }

  /** Carries a move out. */
  apply(model: string, { engine, unload }: Option): void {
    unload.forEach((other) => {
      this.#held.get(engine.name)?.delete(other);
      this.#replicas.get(other)?.delete(engine.name);
      this.#ready.get(other)?.delete(engine.name);
    });
    this.#held.get(engine.name)?.add(model);
    this.#replicas.get(model)?.add(engine.name);
    this.#flow = this.#measure(({ demand }) => demand);
    this.#outlook = this.#measure(forecastOf);
  }

  /** Bytes that are short on the engine that comes nearest to holding a model. */
  shortfall({ bytes }: Model): number {
    const frees = [...this.#engines.values()].map((engine) => {
      const evictable = this.#evictable(engine, MoveReason.reach).reduce(
        (sum, other) => sum + other.bytes,
        0,
      );
      return this.#freeBytes(engine) + evictable;
    });
    return Math.max(0, bytes - Math.max(0, ...frees));
  }

  #measure(demandOf: (model: Model) => number): PlacementFlow {
    const models = [...this.#models.values()];
    const wanted = models.map((model) => ({ ...model, demand: demandOf(model) }));
    return new PlacementFlow(wanted, this.#engines, this.#replicas);
  }

  #flowOf(isForecast: boolean): PlacementFlow {
    return isForecast ? this.#outlook : this.#flow;
  }

  #option(
    model: Model,
    engine: Engine,
    reason: MoveReason,
    gainShareMin: number,
  ): Option | undefined {
    if (this.#held.get(engine.name)?.has(model.name)) return undefined;
    const victims = this.#victims(model, engine, reason);
    if (!victims) return undefined;
    const flow = this.#flowOf(reason === MoveReason.forecast);
    const rest = flow.unservedByModel.get(model.name) ?? 0;
    const lost = victims.reduce((sum, victim) => sum + this.#worth(victim, engine), 0);
    const gain = Math.min(rest, flow.room(engine)) - lost;
    const isWorth = gain >= gainShareMin * engine.tokensPerSecond;
    if (reason !== MoveReason.reach && !isWorth) return undefined;
    const mayLose = model.isPatient === true ? this.#patientLossShareMax : this.#lossShareMax;
    if (lost > mayLose * engine.tokensPerSecond) return undefined;
    return { engine, unload: victims.map(({ name }) => name), gain };
  }

  // What a replica is worth to its model: what the model's other engines have no room for. The last
  // one is worth something even while nobody asks for the model: its callers may be in a hurry.
  #worth(model: Model, engine: Engine): number {
    const { name } = model;
    const others = [...(this.#replicas.get(name) ?? [])].filter((other) => other !== engine.name);
    const room = others.reduce((sum, other) => {
      const found = this.#engines.get(other);
      return sum + (found ? this.#outlook.room(found) : 0);
    }, 0);
    const share = forecastOf(model) / (others.length + 1);
    const isKept = others.length === 0 && model.isPatient !== true;
    const keep = isKept ? this.#lastReplicaShare * engine.tokensPerSecond : 0;
    return Math.max(0, share - room) + keep;
  }

  #victims({ bytes }: Model, engine: Engine, reason: MoveReason): Model[] | undefined {
    let missing = bytes - this.#freeBytes(engine);
    if (missing <= 0) return [];
    // Among equals the one with the most other replicas goes.
    const replicaCount = ({ name }: Model): number => this.#replicas.get(name)?.size ?? 0;
    const candidates = this.#evictable(engine, reason).sort(
      (left, right) =>
        this.#worth(left, engine) - this.#worth(right, engine) ||
        replicaCount(right) - replicaCount(left),
    );
    const victims: Model[] = [];
    candidates.forEach((candidate) => {
      if (missing <= 0) return;
      victims.push(candidate);
      missing -= candidate.bytes;
    });
    return missing <= 0 ? victims : undefined;
  }

  // A labelled model's last ready replica stays, whatever else would like its place; and what is
  // only being loaded is not taken away again before it has served. A model whose callers can wait
  // for a load makes room for one that wants more than its engines make.
  #evictable(engine: Engine, reason: MoveReason): Model[] {
    return [...(this.#held.get(engine.name) ?? [])]
      .flatMap((name) => this.#models.get(name) ?? [])
      .filter(({ name, isLabelled, isAwaited, isPatient }) => {
        const ready = this.#ready.get(name);
        const mayYield = isPatient === true && reason !== MoveReason.reach;
        const isBound = isLabelled || (isAwaited === true && !mayYield);
        return ready?.has(engine.name) && (!isBound || ready.size > 1);
      });
  }

  // Among equals the emptiest: it leaves room for a new version beside an old one.
  #freeAfter({ engine, unload }: Option): number {
    const freed = unload.reduce((sum, name) => sum + (this.#models.get(name)?.bytes ?? 0), 0);
    return this.#freeBytes(engine) + freed;
  }

  #freeBytes(engine: Engine): number {
    const held = [...(this.#held.get(engine.name) ?? [])];
    const bytes = held.reduce((sum, name) => sum + (this.#models.get(name)?.bytes ?? 0), 0);
    return engine.capacityBytes - engine.otherBytes - bytes;
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
 * Plans one round of placement from what is there: models that cannot be reached first, then those
 * that want more than their engines make. Nothing is moved for a small gain, nothing is unloaded but
 * to make room, and the same input gives the same plan everywhere.
 *
 * @param input - models, engines and the budget of moves
 * @returns the moves, in the order to make them
 */
export function planPlacement(input: PlacementInput): PlacementPlan {
  const round = new PlacementRound(input);
  const moves: PlacementMove[] = [];
  const shortfalls: { model: string; bytes: number }[] = [];
  // Adds replicas of the models that lack most, as long as each wins enough.
  const feed = (
    reason: MoveReason,
    restMin: number,
    countMax: number,
    gainShareMin?: number,
  ): void => {
    const skipped = new Set<string>();
    const isForecast = reason === MoveReason.forecast;
    const end = Math.min(input.moveBudget, moves.length + countMax);
    while (moves.length < end) {
      const model = round.hungry(restMin, isForecast).find(({ name }) => !skipped.has(name));
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
  // A model that lacks more than an engine makes keeps more callers waiting than one that is asked
  // for now and then: half of the moves are for such models first.
  feed(MoveReason.capacity, round.largestEngine, Math.floor(input.moveBudget / 2));
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
  // A small gain today must not take an engine that is needed in a few seconds.
  const largeShare = LARGE_GAIN_FACTOR * (input.gainShareMin ?? GAIN_SHARE_MIN);
  feed(MoveReason.capacity, 0, input.moveBudget, largeShare);
  feed(MoveReason.forecast, 0, input.moveBudget);
  feed(MoveReason.capacity, 0, input.moveBudget);
  const wanted = input.models.reduce((sum, { demand }) => sum + demand, 0);
  const servedShare = wanted === 0 ? 1 : 1 - round.unserved / wanted;
  return { moves, shortfalls, servedShare };
}
