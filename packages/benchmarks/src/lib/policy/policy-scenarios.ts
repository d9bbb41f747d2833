import { createPolicy } from './create-policy.js';
import { deploymentShapes } from './deployment-shapes.js';
import { measureRun } from './measure-run.js';
import { runLoad } from './run-load.js';
import type { SimRequest } from './sim-request.js';
import { SimWorld } from './sim-world.js';

type ShapeName = keyof typeof deploymentShapes;
type Measure = ReturnType<typeof measureRun>;

interface ScenarioRun {
  readonly shape: ShapeName;
  readonly policy: string;
  readonly seed: number;
}

/** Number of tokens of a long request: 50 times the mean. */
const LONG_TOKENS = 6_000;
const MEAN_TOKENS = 120;
/** Time for which the load of `slowed` goes on after the measured period, in seconds. */
const LOAD_AFTER_S = 40;

const createWorld = ({ shape, seed }: ScenarioRun): SimWorld =>
  new SimWorld(deploymentShapes[shape], seed);

/** Zipf-like weights: popularity falls with the rank. The offset rotates the ranking. */
const zipf = (count: number, offset: number): readonly number[] =>
  Array.from({ length: count }, (_, model) => 1 / (1 + ((model + offset) % count)) ** 0.5);

const arrivedIn =
  (fromS: number, toS: number) =>
  ({ arrivedMs }: SimRequest): boolean =>
    arrivedMs >= fromS * 1_000 && arrivedMs < toS * 1_000;

/**
 * A demand peak: demand rises tenfold within 5 s and stays there for 60 s, while the ranking of the
 * models rotates every 15 s. The peak is 75 % of the capacity.
 */
function crest(run: ScenarioRun): Measure {
  const world = createWorld(run);
  const peak = world.capacityPerSecond * 0.75;
  const rise = (atS: number): number => Math.min(1, Math.max(0, (atS - 20) / 5));
  const requests = runLoad(world, createPolicy(run.policy, world), {
    ratePerSecond: (atMs) => (atMs < 85_000 ? peak * (0.1 + 0.9 * rise(atMs / 1_000)) : peak * 0.1),
    weights: (atMs) => zipf(world.replicas.length, Math.floor(atMs / 15_000) * 3),
    durationMs: 100_000,
  });
  return measureRun(requests.filter(arrivedIn(20, 85)), 65_000);
}

/** A constant load, given as a fraction of the capacity. */
function steady(run: ScenarioRun, load: number, seconds: number): Measure {
  const world = createWorld(run);
  const requests = runLoad(world, createPolicy(run.policy, world), {
    ratePerSecond: () => world.capacityPerSecond * load,
    weights: () => world.replicas.map(() => 1),
    durationMs: (seconds + 20) * 1_000,
  });
  return measureRun(requests.filter(arrivedIn(20, 20 + seconds)), seconds * 1_000);
}

/**
 * Load in which a share of the requests is 50 times as long as the mean; a share of 0 gives the run to
 * compare with.
 */
function headOfLine(run: ScenarioRun, longShare: number): { short: Measure; longRatioP95: number } {
  const world = createWorld(run);
  const requests = runLoad(world, createPolicy(run.policy, world), {
    ratePerSecond: () => world.capacityPerSecond * 0.3,
    weights: () => world.replicas.map(() => 1),
    tokens: () => (world.random.unit() < longShare ? LONG_TOKENS : undefined),
    durationMs: 120_000,
  });
  const measured = requests.filter(arrivedIn(40, 120));
  const short = measureRun(
    measured.filter(({ isLong }) => !isLong),
    80_000,
  );
  const ratios = measured
    .filter(({ isLong, doneMs }) => isLong && doneMs !== undefined)
    .map(({ doneMs, arrivedMs, engine }) => {
      const uncontendedMs = LONG_TOKENS * world.engines[engine].shape.baseTokenMs;
      return ((doneMs as number) - arrivedMs) / uncontendedMs;
    })
    .sort((left, right) => left - right);
  const longRatioP95 = ratios[Math.floor(ratios.length * 0.95)] ?? 0;
  return { short, longRatioP95 };
}

/**
 * Load during which each engine in turn is slowed by a factor for 2 s, twice; a factor of 1 gives the
 * run to compare with.
 */
function slowed(run: ScenarioRun, factor: number): Measure {
  const world = createWorld(run);
  const seconds = world.engines.length * 2 * 2;
  for (let turn = 0; turn * 2 < seconds; turn += 1) {
    const engine = world.engines[turn % world.engines.length];
    world.clock.after(20_000 + turn * 2_000, () => {
      engine.slowFactor = factor;
    });
    world.clock.after(20_000 + (turn + 1) * 2_000, () => {
      engine.slowFactor = 1;
    });
  }
  const requests = runLoad(world, createPolicy(run.policy, world), {
    ratePerSecond: () => world.capacityPerSecond * 0.5,
    weights: () => world.replicas.map(() => 1),
    durationMs: (20 + seconds + LOAD_AFTER_S) * 1_000,
  });
  const measured = requests.filter(arrivedIn(20, 20 + seconds));
  return measureRun(
    measured.filter(({ tokens }) => tokens > MEAN_TOKENS / 6),
    seconds * 1_000,
  );
}

/** The simulated runs of which the scenarios of the request path consist. */
export const policyScenarios = { crest, steady, headOfLine, slowed };
