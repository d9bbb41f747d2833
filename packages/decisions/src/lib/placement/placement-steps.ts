import { MoveReason } from './move-reason.js';
import type { PlacementInput } from './placement-input.js';
import type { PlacementMove } from './placement-move.js';
import type { PlacementOption } from './placement-option.js';
import type { PlacementPlan } from './placement-plan.js';
import { PlacementRound } from './placement-round.js';

type PlacementModel = PlacementInput['models'][number];

const isTolerant = ({ isLatencyTolerant }: PlacementModel): boolean => isLatencyTolerant === true;

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

const toMove = (
  model: string,
  reason: MoveReason,
  options: readonly PlacementOption[],
): PlacementMove => ({
  engine: options[0].engine.name,
  load: model,
  unload: options[0].unload,
  unloadMs: options[0].unloadMs,
  gain: options[0].gain,
  reason,
  alternatives: options
    .slice(1, 1 + ALTERNATIVE_COUNT)
    .map(({ engine, gain }) => ({ engine: engine.name, gain })),
});

/**
 * Plans like `planPlacement`, in steps of a few milliseconds each, between which the caller may do other
 * work; the input is that of the beginning.
 *
 * @param input - models, engines and the number of moves that may begin
 * @returns steps; the value of the last one is the plan
 */
export function* placementSteps(input: PlacementInput): Generator<void, PlacementPlan, void> {
  const { gainShareMin = GAIN_SHARE_MIN, turnMoveMax = input.moveBudget } = input;
  const round = new PlacementRound({ ...input, gainShareMin });
  const moves: PlacementMove[] = [];
  const shortfalls = new Map<string, number>();
  const add = (model: string, reason: MoveReason, options: readonly PlacementOption[]): void => {
    moves.push(toMove(model, reason, options));
    round.apply(model, options[0]);
  };
  // Adds first replicas in the order of the models.
  function* addFirstReplicas(
    reason: MoveReason,
    models: readonly PlacementModel[],
    moveCountMax: number,
  ): Generator<void, void, void> {
    const end = Math.min(input.moveBudget, moves.length + moveCountMax);
    for (let index = 0; index < models.length; index += 1) {
      const model = models[index];
      const options = round.options(model, reason);
      if (options.length === 0) shortfalls.set(model.name, round.shortfall(model));
      else if (moves.length < end) add(model.name, reason, options);
      yield;
    }
  }
  // Adds replicas of the models with the most unserved demand, as long as each move gains enough.
  function* addReplicas(
    reason: MoveReason,
    unservedMin: number,
    moveCountMax: number,
    moveGainShareMin = gainShareMin,
  ): Generator<void, void, void> {
    const skipped = new Set<string>();
    const isForecast = reason === MoveReason.forecast;
    const end = Math.min(input.moveBudget, moves.length + moveCountMax);
    while (moves.length < end) {
      const model = round
        .underserved(unservedMin, isForecast)
        .find(({ name }) => !skipped.has(name));
      if (!model) return;
      const options = round.options(model, reason, moveGainShareMin);
      if (options.length === 0) {
        skipped.add(model.name);
      } else {
        add(model.name, reason, options);
      }
      yield;
    }
  }
  const unreachable = round.unreachable();
  const inTurn = unreachable
    .filter((model) => round.isInTurn(model))
    .sort(
      (left, right) =>
        Number(right.hasCallersSoon !== false) - Number(left.hasCallersSoon !== false) ||
        (right.waitedMs ?? 0) - (left.waitedMs ?? 0),
    );
  // Models in turn come before further replicas of others: whatever comes before them in each round, however little it
  // gains, could keep them waiting for good. Only latency-critical models without a replica go first; they stay once
  // they are loaded.
  if (inTurn.length > 0) {
    const halfBudget = Math.ceil(input.moveBudget / 2);
    const critical = unreachable.filter((model) => !isTolerant(model));
    yield* addFirstReplicas(MoveReason.reach, critical, halfBudget);
    yield* addFirstReplicas(MoveReason.turn, inTurn, Math.min(halfBudget, turnMoveMax));
  }
  // A model whose unserved demand exceeds a whole engine keeps more callers waiting than a rarely
  // requested model without a replica, so up to half of the moves go to such models first.
  yield* addReplicas(
    MoveReason.capacity,
    round.fastestTokensPerSecond,
    Math.floor(input.moveBudget / 2),
  );
  // Without those that have a replica by now, those that have lost one in this round, and those that no engine can take.
  const candidates = new Set(unreachable.filter((model) => !inTurn.includes(model)));
  const others = round
    .unreachable()
    .filter((model) => candidates.has(model) && !shortfalls.has(model.name));
  yield* addFirstReplicas(MoveReason.reach, others, input.moveBudget);
  // Moves with a small present gain come after those for the forecast: they must not take an engine
  // that is needed within a few seconds.
  const largeGainShareMin = LARGE_GAIN_FACTOR * gainShareMin;
  yield* addReplicas(MoveReason.capacity, 0, input.moveBudget, largeGainShareMin);
  yield* addReplicas(MoveReason.forecast, 0, input.moveBudget);
  yield* addReplicas(MoveReason.capacity, 0, input.moveBudget);
  const absent = round.absent();
  for (let index = 0; index < absent.length && moves.length < input.moveBudget; index += 1) {
    const options = round.vacancies(absent[index]);
    if (options.length > 0) add(absent[index].name, MoveReason.residence, options);
    yield;
  }
  const totalDemand = input.models.reduce((sum, { demand }) => sum + demand, 0);
  const servedShare = totalDemand === 0 ? 1 : 1 - round.unserved / totalDemand;
  const planned = new Set(moves.map(({ load }) => load));
  const queued = [...inTurn, ...others]
    .filter((model) => isTolerant(model) && !planned.has(model.name))
    .map(({ name }) => name);
  return {
    moves,
    shortfalls: [...shortfalls].flatMap(([model, bytes]) =>
      planned.has(model) ? [] : [{ model, bytes }],
    ),
    queued,
    servedShare,
  };
}
