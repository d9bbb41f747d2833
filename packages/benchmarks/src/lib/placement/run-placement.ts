import { Random } from '@chervilseam/decisions';
import { deploymentShapes } from '../policy/deployment-shapes.js';
import { measureRun } from '../policy/measure-run.js';
import { ChervilseamPolicy } from '../policy/chervilseam-policy.js';
import { runLoad } from '../policy/run-load.js';
import { SimWorld } from '../policy/sim-world.js';
import { placementStrategies } from './placement-strategy.js';
import { PlacementWorld } from './placement-world.js';
import { WeightStoreModel } from './weight-store-model.js';

type ShapeName = keyof typeof deploymentShapes;
type Figures = Readonly<Record<string, number>>;

const MEAN_TOKENS = 120;
const DURATION_MS = 300_000;
/** Requests that arrive before this time are not measured, in milliseconds. */
const MEASURED_FROM_MS = 20_000;
/** Period after which other models swing up, in milliseconds. */
const SWING_MS = 40_000;
/** Factor by which the demand of a model grows when it swings up. */
const SWING_FACTOR = 10;
/** Probability of each model to swing up in a period. */
const SWING_SHARE = 0.15;
/** Time that a swing takes from one level to the other, in milliseconds. */
const SWING_RAMP_MS = 5_000;
/** Mean load, as a share of the capacity. */
const MEAN_LOAD_SHARE = 0.5;
/** How far the clairvoyant strategy sees ahead, in milliseconds. */
const LOOK_AHEAD_MS = 8_000;
/** Maximum number of replicas of each model at the start; models of the order desk have one. */
const REPLICA_COUNT = 2;

/** The weight stores that the requirements describe; a load takes 4 s at full speed. */
const stores = {
  kovacic: { loadsPerSecond: 2, fullSpeedCount: 9, loadMs: 4_000 },
  omslagsverk: { loadsPerSecond: 3, fullSpeedCount: 3, loadMs: 4_000 },
} as const;

/**
 * Creates the demand of each model over time: a rank-based popularity, a slow wave for the two shifts
 * of a day, and tenfold swings of single models within seconds.
 *
 * @returns relative demand of each model at a virtual time
 */
function createDemand(modelCount: number, seed: number): (atMs: number) => readonly number[] {
  const random = new Random(seed + 1_000);
  const base = Array.from({ length: modelCount }, (_, model) => 1 / (model + 1) ** 0.7);
  const swings = Array.from({ length: Math.ceil(DURATION_MS / SWING_MS) + 2 }, () =>
    base.map(() => random.unit() < SWING_SHARE),
  );
  return (atMs) => {
    const period = Math.min(swings.length - 1, Math.floor(atMs / SWING_MS));
    const ramp = Math.min(1, (atMs % SWING_MS) / SWING_RAMP_MS);
    const shift = 1 + 0.4 * Math.sin((2 * Math.PI * atMs) / DURATION_MS);
    return base.map((weight, model) => {
      const isNow = swings[period][model];
      const wasBefore = period > 0 && swings[period - 1][model];
      const level = (isNow ? ramp : 0) + (wasBefore && !isNow ? 1 - ramp : 0);
      const raised = isNow && wasBefore ? 1 : level;
      return weight * shift * (1 + (SWING_FACTOR - 1) * raised);
    });
  };
}

/**
 * Runs five minutes of demand, during which one engine fails, another is slowed and the weight store
 * is slow.
 *
 * @param shape - the deployment
 * @param strategy - name of the strategy
 * @param seed - seed of the demand and of the requests
 * @returns the figures, and the placement at the end
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
  const totalDemand = (atMs: number): number =>
    demand(atMs).reduce((total, weight) => total + weight, 0);
  const samples = Array.from({ length: 60 }, (_, index) => totalDemand((index * DURATION_MS) / 60));
  const meanDemand = samples.reduce((total, value) => total + value, 0) / samples.length;
  const scale = (world.capacityPerSecond * MEAN_LOAD_SHARE) / meanDemand;
  const assistantCount = deployment.assistantSpeeds.length;
  const firstDesk = deployment.modelCount - deployment.deskModelCount;
  const range = (from: number, to: number): number[] =>
    Array.from({ length: to - from }, (_, index) => from + index);
  const groups = [
    { engines: range(0, assistantCount), models: range(0, firstDesk) },
    {
      engines: range(assistantCount, world.engines.length),
      models: range(firstDesk, deployment.modelCount),
    },
  ];
  const round = placementStrategies[strategy]();
  let observedCount = 0;
  const tick = (): void => {
    if (world.clock.nowMs > DURATION_MS) return;
    const newRequests = world.requests.slice(observedCount);
    observedCount = world.requests.length;
    const observed = new Map<number, number>();
    newRequests.forEach(({ model }) =>
      observed.set(model, (observed.get(model) ?? 0) + MEAN_TOKENS),
    );
    const future = (): Map<number, number> => {
      const samplesAhead = [0, 0.5, 1].map((part) =>
        demand(world.clock.nowMs + part * LOOK_AHEAD_MS),
      );
      const tokens = (model: number): number =>
        Math.max(...samplesAhead.map((weights) => weights[model])) * scale * MEAN_TOKENS;
      return new Map(range(0, deployment.modelCount).map((model) => [model, tokens(model)]));
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
  // One engine fails for a minute, another is slowed for 10 s, and the store is slow for a minute.
  world.clock.after(100_000, () => placement.failEngine(1));
  world.clock.after(160_000, () => placement.restoreEngine(1));
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
  const requests = runLoad(world, new ChervilseamPolicy(world), {
    ratePerSecond: (atMs) => totalDemand(atMs) * scale,
    weights: demand,
    durationMs: DURATION_MS,
  });
  const measured = requests.filter(({ arrivedMs }) => arrivedMs >= MEASURED_FROM_MS);
  const { attainment, goodputPerSecond } = measureRun(measured, DURATION_MS - MEASURED_FROM_MS);
  const figures = {
    attainment,
    goodputPerAccelerator: goodputPerSecond / world.engines.length,
    moves: placement.moves,
    unreachableSeconds: placement.unreachableSeconds,
    overcommittedBytes: placement.overcommittedBytes,
  };
  return { figures, placement };
}
