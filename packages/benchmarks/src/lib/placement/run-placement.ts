import { Random } from '@chervilseam/decisions';
import { deploymentShapes } from '../policy/deployment-shapes.js';
import { measureRun } from '../policy/measure-run.js';
import { OwnedPolicy } from '../policy/owned-policy.js';
import { runLoad } from '../policy/run-load.js';
import { SimWorld } from '../policy/sim-world.js';
import { placementStrategies } from './placement-strategy.js';
import { PlacementWorld } from './placement-world.js';
import { WeightStoreModel } from './weight-store-model.js';

type ShapeName = keyof typeof deploymentShapes;
type Figures = Readonly<Record<string, number>>;

const MEAN_TOKENS = 120;
const DURATION_MS = 300_000;
const COUNTED_FROM_MS = 20_000;
const SWING_MS = 40_000;
const SWING_FACTOR = 10;
const SWING_SHARE = 0.15;
const RISE_MS = 5_000;
const MEAN_LOAD = 0.5;
const LOOK_AHEAD_MS = 8_000;
const REPLICA_COUNT = 2;

/** The weight stores of the brief; a model takes four seconds at full speed. */
const stores = {
  kovacic: { loadsPerSecond: 2, fullSpeedCount: 9, loadMs: 4_000 },
  omslagsverk: { loadsPerSecond: 3, fullSpeedCount: 3, loadMs: 4_000 },
} as const;

/** Wanted requests of each model at a time: two shifts a day, and swings of ten within seconds. */
function createDemand(modelCount: number, seed: number): (atMs: number) => readonly number[] {
  const random = new Random(seed + 1_000);
  const base = Array.from({ length: modelCount }, (_, model) => 1 / (model + 1) ** 0.7);
  const swings = Array.from({ length: Math.ceil(DURATION_MS / SWING_MS) + 2 }, () =>
    base.map(() => random.unit() < SWING_SHARE),
  );
  return (atMs) => {
    const turn = Math.min(swings.length - 1, Math.floor(atMs / SWING_MS));
    const risen = Math.min(1, (atMs % SWING_MS) / RISE_MS);
    const shift = 1 + 0.4 * Math.sin((2 * Math.PI * atMs) / DURATION_MS);
    return base.map((weight, model) => {
      const isNow = swings[turn][model];
      const wasBefore = turn > 0 && swings[turn - 1][model];
      const level = (isNow ? risen : 0) + (wasBefore && !isNow ? 1 - risen : 0);
      const kept = isNow && wasBefore ? 1 : level;
      return weight * shift * (1 + (SWING_FACTOR - 1) * kept);
    });
  };
}

/**
 * Runs five minutes of demand with an engine lost, one slowed and the store slow.
 *
 * @param shape - the deployment
 * @param strategy - name of the strategy
 * @param seed - seed of demand and requests
 * @returns the figures, and the placement as it was at the end
 */
export function runPlacement(
  shape: ShapeName,
  strategy: string,
  seed: number,
): { readonly figures: Figures; readonly placement: PlacementWorld } {
  const deployment = { ...deploymentShapes[shape], replicaCount: REPLICA_COUNT };
  const world = new SimWorld(deployment, seed);
  const store = new WeightStoreModel(world.clock, stores[shape]);
  const placement = new PlacementWorld(world, store);
  const demand = createDemand(deployment.modelCount, seed);
  const sum = (atMs: number): number => demand(atMs).reduce((total, weight) => total + weight, 0);
  const samples = Array.from({ length: 60 }, (_, index) => sum((index * DURATION_MS) / 60));
  const meanSum = samples.reduce((total, value) => total + value, 0) / samples.length;
  const scale = (world.capacityPerSecond * MEAN_LOAD) / meanSum;
  const assistantCount = deployment.assistantSpeeds.length;
  const firstDesk = deployment.modelCount - deployment.deskModelCount;
  const numbers = (from: number, to: number): number[] =>
    Array.from({ length: to - from }, (_, index) => from + index);
  const groups = [
    { engines: numbers(0, assistantCount), models: numbers(0, firstDesk) },
    {
      engines: numbers(assistantCount, world.engines.length),
      models: numbers(firstDesk, deployment.modelCount),
    },
  ];
  const round = placementStrategies[strategy]();
  let seen = 0;
  const tick = (): void => {
    if (world.clock.nowMs > DURATION_MS) return;
    const fresh = world.requests.slice(seen);
    seen = world.requests.length;
    const observed = new Map<number, number>();
    fresh.forEach(({ model }) => observed.set(model, (observed.get(model) ?? 0) + MEAN_TOKENS));
    const future = (): Map<number, number> => {
      const soon = [0, 0.5, 1].map((part) => demand(world.clock.nowMs + part * LOOK_AHEAD_MS));
      const tokens = (model: number): number =>
        Math.max(...soon.map((weights) => weights[model])) * scale * MEAN_TOKENS;
      return new Map(numbers(0, deployment.modelCount).map((model) => [model, tokens(model)]));
    };
    round({
      placement,
      groups,
      observed: () => observed,
      future,
      moveBudget: stores[shape].fullSpeedCount,
    });
    world.clock.after(1_000, tick);
  };
  world.clock.after(1_000, tick);
  // An engine is lost for a minute, another is slowed, and the store is slow for a minute.
  world.clock.after(100_000, () => placement.lose(1));
  world.clock.after(160_000, () => placement.regain(1));
  world.clock.after(180_000, () => {
    world.engines[2].slowFactor = 4;
  });
  world.clock.after(190_000, () => {
    world.engines[2].slowFactor = 1;
  });
  world.clock.after(200_000, () => {
    store.slowFactor = 5;
  });
  world.clock.after(260_000, () => {
    store.slowFactor = 1;
  });
  const requests = runLoad(world, new OwnedPolicy(world), {
    ratePerSecond: (atMs) => sum(atMs) * scale,
    weights: demand,
    durationMs: DURATION_MS,
  });
  const counted = requests.filter(({ arrivedMs }) => arrivedMs >= COUNTED_FROM_MS);
  const { attainment, goodputPerSecond } = measureRun(counted, DURATION_MS - COUNTED_FROM_MS);
  const figures = {
    attainment,
    goodputPerAccelerator: goodputPerSecond / world.engines.length,
    moves: placement.moves,
    unreachableSeconds: placement.unreachableSeconds,
    overcommittedBytes: placement.overcommittedBytes,
  };
  return { figures, placement };
}
