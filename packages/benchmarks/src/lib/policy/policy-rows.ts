import type { BenchRow } from '../bench-row.js';
import { deploymentShapes } from './deployment-shapes.js';
import { DirectPolicy } from './direct-policy.js';
import { policyScenarios } from './policy-scenarios.js';

type ShapeName = keyof typeof deploymentShapes;
type Figures = Readonly<Record<string, number>>;

const SYSTEM_POLICY = 'chervilseam';
/** Share of long requests in `headofline`. */
const LONG_SHARE = 0.02;
/** Factor by which an engine is slowed in `slowed`. */
const SLOW_FACTOR = 8;
/** Loads, as fractions of the capacity, at which the peak goodput is looked for. */
const PEAK_SEARCH_LOADS = [0.8, 1, 1.2];

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

interface ScenarioSpec {
  /** Runs the scenario once with one policy and returns its figures. */
  readonly run: (shape: ShapeName, policy: string, seed: number) => Figures;
  /** Bounds by figure; a figure may have none. */
  readonly bounds: Readonly<Record<string, string>>;
  /** Units by figure; `ratio` where there is none. */
  readonly units: Readonly<Record<string, string>>;
  /** Whether the clairvoyant policy is run as a baseline. */
  readonly hasClairvoyant: boolean;
}

/** The scenarios of the request path. */
const scenarios: Readonly<Record<string, ScenarioSpec>> = {
  crest: {
    run: (shape, policy, seed) => {
      const { attainment, counterAttainment, firstTokenP99Ms, refusedShare } =
        policyScenarios.crest({ shape, policy, seed });
      return { attainment, counterAttainment, firstTokenP99Ms, refusedShare };
    },
    bounds: { counterAttainment: '>= 0.99' },
    units: { firstTokenP99Ms: 'ms' },
    hasClairvoyant: true,
  },
  overload: {
    run: (shape, policy, seed) => {
      const run = { shape, policy, seed };
      const peaks = PEAK_SEARCH_LOADS.map((load) => policyScenarios.steady(run, load, 40));
      const peak = Math.max(...peaks.map(({ goodputPerSecond }) => goodputPerSecond));
      const overloaded = policyScenarios.steady(run, 3, 120);
      return {
        goodputOfPeak: overloaded.goodputPerSecond / Math.max(1e-9, peak),
        goodputPerSecond: overloaded.goodputPerSecond,
        refusalP99Ms: overloaded.refusalP99Ms,
        counterAttainment: overloaded.counterAttainment,
      };
    },
    bounds: { goodputOfPeak: '>= 0.9', refusalP99Ms: '<= 100' },
    units: { goodputPerSecond: '1/s', refusalP99Ms: 'ms' },
    hasClairvoyant: true,
  },
  headofline: {
    run: (shape, policy, seed) => {
      const run = { shape, policy, seed };
      const mixed = policyScenarios.headOfLine(run, LONG_SHARE);
      const withoutLong = policyScenarios.headOfLine(run, 0);
      return {
        shortFirstTokenRatio: mixed.short.firstTokenP99Ms / withoutLong.short.firstTokenP99Ms,
        shortPaceRatio: mixed.short.msPerTokenP99 / withoutLong.short.msPerTokenP99,
        longRatioP95: mixed.longRatioP95,
        shortAttainment: mixed.short.attainment,
      };
    },
    bounds: { shortFirstTokenRatio: '<= 1.5', shortPaceRatio: '<= 1.5', longRatioP95: '<= 2' },
    units: {},
    hasClairvoyant: true,
  },
  slowed: {
    run: (shape, policy, seed) => {
      const run = { shape, policy, seed };
      const withSlowing = policyScenarios.slowed(run, SLOW_FACTOR);
      const undisturbed = policyScenarios.slowed(run, 1);
      return {
        firstTokenRatio: withSlowing.firstTokenP99Ms / undisturbed.firstTokenP99Ms,
        paceRatio: withSlowing.msPerTokenP99 / undisturbed.msPerTokenP99,
        attainment: withSlowing.attainment,
        moves: withSlowing.moves,
      };
    },
    bounds: { firstTokenRatio: '<= 1.5', paceRatio: '<= 1.5' },
    units: { moves: 'count' },
    hasClairvoyant: false,
  },
};

function meanFigures(runs: readonly Figures[]): Figures {
  const keys = Object.keys(runs[0]);
  return Object.fromEntries(keys.map((key) => [key, mean(runs.map((run) => run[key]))]));
}

/**
 * Measures the request path in virtual time against baselines and the clairvoyant bound.
 *
 * @param scenario - name of the scenario
 * @param seeds - number of runs of each policy; their seeds are 1, 2, ...
 * @returns a row for each figure and deployment
 */
export function policyRows(scenario: string, seeds: number): BenchRow[] {
  const { run, bounds, units, hasClairvoyant } = scenarios[scenario];
  const policies = [
    SYSTEM_POLICY,
    ...DirectPolicy.names,
    ...(hasClairvoyant ? ['clairvoyant'] : []),
  ];
  return (Object.keys(deploymentShapes) as ShapeName[]).flatMap((shape) => {
    const results = policies.map((policy) => {
      const runs = Array.from({ length: seeds }, (_, index) => run(shape, policy, index + 1));
      return [policy, meanFigures(runs)] as const;
    });
    const [, systemFigures] = results[0];
    const others = results.slice(1);
    const rows = Object.entries(systemFigures).map(([metric, value]) => ({
      scenario: `${scenario}/${shape}`,
      metric,
      value,
      unit: units[metric] ?? 'ratio',
      bound: bounds[metric] ?? '',
      baselines: Object.fromEntries(others.map(([policy, figures]) => [policy, figures[metric]])),
      seeds,
    }));
    if (scenario !== 'crest') return rows;
    const { attainment } = rows[0].baselines as { attainment?: number };
    const clairvoyant = rows[0].baselines.clairvoyant ?? attainment ?? 1;
    const relative = { ...rows[0], metric: 'ofClairvoyant', bound: '>= 0.95', baselines: {} };
    return [...rows, { ...relative, value: rows[0].value / clairvoyant }];
  });
}
