import { DemandEstimate, planPlacement } from '@chervilseam/decisions';
import type { PlacementInput } from '@chervilseam/decisions';
import type { PlacementWorld } from './placement-world.js';

/** Tokens per second requested of each model, by index of the model. */
type Demand = ReadonlyMap<number, number>;

interface StrategyContext {
  readonly placement: PlacementWorld;
  /** Groups of engines with the models that are placed on them. */
  readonly groups: readonly {
    readonly engines: readonly number[];
    readonly models: readonly number[];
  }[];
  /** Demand of the last second. */
  readonly observed: () => Demand;
  /** Highest demand within the next seconds, which only the clairvoyant strategy uses. */
  readonly future: () => Demand;
  /** Maximum number of loads at once. */
  readonly moveBudget: number;
}

/** One round of a strategy; runs every second. */
type StrategyRound = (context: StrategyContext) => void;

function placementInputOf(
  { placement, moveBudget }: StrategyContext,
  group: StrategyContext['groups'][number],
  demand: Demand,
): PlacementInput {
  const { world, modelBytes, capacityBytes, activeLoadCount } = placement;
  return {
    models: group.models.map((model) => ({
      name: String(model),
      bytes: modelBytes,
      mustStayResident: true,
      demand: demand.get(model) ?? 0,
    })),
    engines: group.engines
      .filter((engine) => !placement.hasFailed(engine))
      .map((engine) => {
        const { streamCountAtTarget: count } = world.engines[engine];
        const remainingModels = placement.remainingModels(engine);
        const drainingCount = placement.held[engine].size - remainingModels.length;
        return {
          name: String(engine),
          capacityBytes,
          tokensPerSecond: (count / world.engines[engine].tokenMs(count)) * 1_000,
          models: remainingModels.map(String),
          ready: remainingModels
            .filter((model) => world.replicas[model].includes(engine))
            .map(String),
          otherBytes: drainingCount * modelBytes,
        };
      }),
    moveBudget: Math.max(0, moveBudget - activeLoadCount),
  };
}

/** Runs the planner of this system with a demand. */
function followPlanFor(readDemand: (context: StrategyContext) => Demand): StrategyRound {
  return (context) => {
    const demand = readDemand(context);
    context.groups.forEach((group) => {
      planPlacement(placementInputOf(context, group, demand)).moves.forEach(
        ({ engine, load, unload }) => {
          context.placement.move(Number(engine), Number(load), unload.map(Number));
        },
      );
    });
  };
}

/** Runs the planner of this system with its own estimate of the demand. */
function followPlanForEstimate(): StrategyRound {
  const estimate = new DemandEstimate();
  return followPlanFor(({ observed }) => {
    const byName = new Map([...observed()].map(([model, tokens]) => [String(model), tokens]));
    estimate.observe(byName, 1_000);
    return new Map([...estimate.byModel].map(([model, tokens]) => [Number(model), tokens]));
  });
}

/** Gives each model replicas in proportion to the demand of the last second, without smoothing. */
function greedy(): StrategyRound {
  return (context) => {
    const { placement, groups, observed } = context;
    const demand = observed();
    groups.forEach(({ engines, models }) => {
      const alive = engines.filter((engine) => !placement.hasFailed(engine));
      const slots = alive.length * Math.floor(placement.capacityBytes / placement.modelBytes);
      const total = models.reduce((sum, model) => sum + (demand.get(model) ?? 0), 1);
      const targetCounts = new Map(
        models.map((model) => {
          const share = ((demand.get(model) ?? 0) / total) * slots;
          return [model, Math.min(alive.length, Math.max(1, Math.round(share)))];
        }),
      );
      models.forEach((model) => {
        const holders = alive.filter((engine) => placement.remainingModels(engine).includes(model));
        if (holders.length >= (targetCounts.get(model) ?? 1)) return;
        const hasSurplus = (other: number): boolean =>
          alive.filter((engine) => placement.remainingModels(engine).includes(other)).length >
          (targetCounts.get(other) ?? 1);
        // An engine has memory for five models.
        const target = alive.find(
          (engine) =>
            !holders.includes(engine) &&
            (placement.held[engine].size < 5 || placement.remainingModels(engine).some(hasSurplus)),
        );
        if (target === undefined) return;
        const isFull = placement.held[target].size >= 5;
        const replaced = placement.remainingModels(target).find(hasSurplus);
        if (isFull && replaced === undefined) return;
        placement.move(target, model, isFull ? [replaced as number] : []);
      });
    });
  };
}

/**
 * Loads each model that no running engine holds; where no engine has free memory, the model replaces
 * the least recently requested one.
 */
function loadOnDemand(): StrategyRound {
  const usedAt = new Map<number, number>();
  return ({ placement, groups, observed }) => {
    const { clock, replicas } = placement.world;
    observed().forEach((tokens, model) => {
      if (tokens > 0) usedAt.set(model, clock.nowMs);
    });
    groups.forEach(({ engines, models }) => {
      const alive = engines.filter((engine) => !placement.hasFailed(engine));
      const missing = models.filter((model) => {
        const isHeld = alive.some((engine) => placement.held[engine].has(model));
        return replicas[model].length === 0 && !isHeld;
      });
      missing.forEach((model) => {
        const byUse = alive
          .flatMap((engine) =>
            placement.remainingModels(engine).map((other) => ({ engine, other })),
          )
          .sort((left, right) => (usedAt.get(left.other) ?? 0) - (usedAt.get(right.other) ?? 0));
        // An engine has memory for five models.
        const withSpace = alive.find((engine) => placement.held[engine].size < 5);
        if (withSpace !== undefined) placement.move(withSpace, model, []);
        else if (byUse.length > 0) placement.move(byUse[0].engine, model, [byUse[0].other]);
      });
    });
  };
}

/** Keeps the initial placement; a restored engine loads its models again. */
function keepInitial(): StrategyRound {
  let initial: number[][] | undefined;
  return ({ placement }) => {
    initial ??= placement.held.map((models) => [...models]);
    initial.forEach((models, engine) => {
      if (placement.hasFailed(engine)) return;
      models.forEach((model) => placement.move(engine, model, []));
    });
  };
}

/** Creators of the strategies, by name; each call returns a strategy with new state. */
export const placementStrategies: Readonly<Record<string, () => StrategyRound>> = {
  chervilseam: followPlanForEstimate,
  static: keepInitial,
  loadOnDemandLru: loadOnDemand,
  greedyByDemand: greedy,
  clairvoyant: () => followPlanFor(({ future }) => future()),
};
