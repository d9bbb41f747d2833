import { DemandEstimate, planPlacement } from '@chervilseam/decisions';
import type { PlacementInput } from '@chervilseam/decisions';
import type { PlacementWorld } from './placement-world.js';

/** Tokens a second wanted of each model, by its number. */
type Demand = ReadonlyMap<number, number>;

interface StrategyContext {
  readonly placement: PlacementWorld;
  /** Engines that share models. */
  readonly groups: readonly {
    readonly engines: readonly number[];
    readonly models: readonly number[];
  }[];
  /** What was wanted in the last second. */
  readonly observed: () => Demand;
  /** What will be wanted in the next seconds. */
  readonly future: () => Demand;
  readonly moveBudget: number;
}

/** One round of a strategy, made every second. */
type Round = (context: StrategyContext) => void;

function inputOf(
  { placement, moveBudget }: StrategyContext,
  group: StrategyContext['groups'][number],
  demand: Demand,
): PlacementInput {
  const { world, modelBytes, capacityBytes, loadCount } = placement;
  return {
    models: group.models.map((model) => ({
      name: String(model),
      bytes: modelBytes,
      mustStayResident: true,
      demand: demand.get(model) ?? 0,
    })),
    engines: group.engines
      .filter((engine) => !placement.isLost(engine))
      .map((engine) => {
        const { streamCountAtTarget: count } = world.engines[engine];
        const staying = placement.staying(engine);
        const leavingCount = placement.held[engine].size - staying.length;
        return {
          name: String(engine),
          capacityBytes,
          tokensPerSecond: (count / world.engines[engine].tokenMs(count)) * 1_000,
          models: staying.map(String),
          ready: staying.filter((model) => world.replicas[model].includes(engine)).map(String),
          otherBytes: leavingCount * modelBytes,
        };
      }),
    moveBudget: Math.max(0, moveBudget - loadCount),
  };
}

function planned(demandOf: (context: StrategyContext) => Demand): Round {
  return (context) => {
    const demand = demandOf(context);
    context.groups.forEach((group) => {
      planPlacement(inputOf(context, group, demand)).moves.forEach(({ engine, load, unload }) => {
        context.placement.move(Number(engine), Number(load), unload.map(Number));
      });
    });
  };
}

function estimated(): Round {
  const estimate = new DemandEstimate();
  return planned(({ observed }) => {
    const named = new Map([...observed()].map(([model, tokens]) => [String(model), tokens]));
    estimate.observe(named, 1_000);
    return new Map([...estimate.byModel].map(([model, tokens]) => [Number(model), tokens]));
  });
}

/** Gives each model replicas in proportion to what was wanted in the last second, anew each time. */
function greedy(): Round {
  return (context) => {
    const { placement, groups, observed } = context;
    const demand = observed();
    groups.forEach(({ engines, models }) => {
      const alive = engines.filter((engine) => !placement.isLost(engine));
      const slots = alive.length * Math.floor(placement.capacityBytes / placement.modelBytes);
      const total = models.reduce((sum, model) => sum + (demand.get(model) ?? 0), 1);
      const wanted = new Map(
        models.map((model) => {
          const share = ((demand.get(model) ?? 0) / total) * slots;
          return [model, Math.min(alive.length, Math.max(1, Math.round(share)))];
        }),
      );
      models.forEach((model) => {
        const holders = alive.filter((engine) => placement.staying(engine).includes(model));
        if (holders.length >= (wanted.get(model) ?? 1)) return;
        const surplus = (other: number): boolean =>
          alive.filter((engine) => placement.staying(engine).includes(other)).length >
          (wanted.get(other) ?? 1);
        const target = alive.find(
          (engine) =>
            !holders.includes(engine) &&
            (placement.held[engine].size < 5 || placement.staying(engine).some(surplus)),
        );
        if (target === undefined) return;
        const isFull = placement.held[target].size >= 5;
        const victim = placement.staying(target).find(surplus);
        if (isFull && victim === undefined) return;
        placement.move(target, model, isFull ? [victim as number] : []);
      });
    });
  };
}

/** Loads a model only when it is wanted and nowhere, in place of the one longest unused. */
function loadOnDemand(): Round {
  const usedAt = new Map<number, number>();
  return ({ placement, groups, observed }) => {
    const { clock, replicas } = placement.world;
    observed().forEach((tokens, model) => {
      if (tokens > 0) usedAt.set(model, clock.nowMs);
    });
    groups.forEach(({ engines, models }) => {
      const alive = engines.filter((engine) => !placement.isLost(engine));
      const missing = models.filter((model) => {
        const isHeld = alive.some((engine) => placement.held[engine].has(model));
        return replicas[model].length === 0 && !isHeld;
      });
      missing.forEach((model) => {
        const byUse = alive
          .flatMap((engine) => placement.staying(engine).map((other) => ({ engine, other })))
          .sort((left, right) => (usedAt.get(left.other) ?? 0) - (usedAt.get(right.other) ?? 0));
        const free = alive.find((engine) => placement.held[engine].size < 5);
        if (free !== undefined) placement.move(free, model, []);
        else if (byUse.length > 0) placement.move(byUse[0].engine, model, [byUse[0].other]);
      });
    });
  };
}

/** Keeps the first placement; what an engine lost is loaded there again when it is back. */
function fixed(): Round {
  let first: number[][] | undefined;
  return ({ placement }) => {
    first ??= placement.held.map((models) => [...models]);
    first.forEach((models, engine) => {
      if (placement.isLost(engine)) return;
      models.forEach((model) => placement.move(engine, model, []));
    });
  };
}

/** The strategies, each with a state of its own. */
export const placementStrategies: Readonly<Record<string, () => Round>> = {
  chervilseam: estimated,
  static: fixed,
  loadOnDemandLru: loadOnDemand,
  greedyByDemand: greedy,
  clairvoyant: () => planned(({ future }) => future()),
};
