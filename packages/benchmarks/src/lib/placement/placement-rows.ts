import { planPlacement, Random } from '@chervilseam/decisions';
import type { BenchRow } from '../bench-row.js';
import { deploymentShapes } from '../policy/deployment-shapes.js';
import { placementStrategies } from './placement-strategy.js';
import { runPlacement } from './run-placement.js';

type ShapeName = keyof typeof deploymentShapes;

/** @returns mean time of a planning round with so many engines and models, in milliseconds */
function timeRound(engineCount: number, modelCount: number): number {
  const random = new Random(1);
  const models = Array.from({ length: modelCount }, (_, index) => ({
    name: `m${index}`,
    bytes: 16e9,
    mustStayResident: true,
    demand: random.exponential(1_500),
  }));
  const engines = Array.from({ length: engineCount }, (_, index) => ({
    name: `e${index}`,
    capacityBytes: 80e9,
    tokensPerSecond: 900,
    models: [0, 1, 2, 3].map((slot) => `m${(index * 4 + slot) % modelCount}`),
    ready: [0, 1, 2, 3].map((slot) => `m${(index * 4 + slot) % modelCount}`),
    otherBytes: 0,
  }));
  const rounds = 5;
  const startMs = performance.now();
  for (let count = 0; count < rounds; count += 1) {
    planPlacement({ models, engines, moveBudget: 3 });
  }
  return (performance.now() - startMs) / rounds;
}

const units: Readonly<Record<string, string>> = {
  goodputPerAccelerator: '1/s',
  moves: 'count',
  unreachableSeconds: 's',
  overcommittedBytes: 'bytes',
};
const bounds: Readonly<Record<string, string>> = {
  unreachableSeconds: '<= 0',
  overcommittedBytes: '<= 0',
};

const mean = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0) / values.length;

function shapeRows(shape: ShapeName, seeds: number): BenchRow[] {
  const results = Object.keys(placementStrategies).map((strategy) => {
    const runs = Array.from(
      { length: seeds },
      (_, index) => runPlacement(shape, strategy, index + 1).figures,
    );
    const keys = Object.keys(runs[0]);
    return [
      strategy,
      Object.fromEntries(keys.map((key) => [key, mean(runs.map((r) => r[key]))])),
    ] as const;
  });
  const [, systemFigures] = results[0];
  const scenario = `placement/${shape}`;
  const others = results.slice(1);
  const rows = Object.entries(systemFigures).map(([metric, value]) => ({
    scenario,
    metric,
    value,
    unit: units[metric] ?? 'ratio',
    bound: bounds[metric] ?? '',
    baselines: Object.fromEntries(others.map(([name, figures]) => [name, figures[metric]])),
    seeds,
  }));
  const { clairvoyant } = Object.fromEntries(results);
  const ratio = (metric: string, value: number, bound: string): BenchRow => ({
    scenario,
    metric,
    value,
    unit: 'ratio',
    bound,
    baselines: {},
    seeds,
  });
  return [
    ...rows,
    ratio('attainmentOfClairvoyant', systemFigures.attainment / clairvoyant.attainment, '>= 0.95'),
    ratio('movesOfClairvoyant', systemFigures.moves / clairvoyant.moves, '<= 2'),
  ];
}

function roundRows(): BenchRow[] {
  const sizes = [
    [38, 28],
    [75, 55],
    [150, 110],
  ] as const;
  // Warms up the just-in-time compiler.
  timeRound(38, 28);
  return sizes.map(([engines, models]) => ({
    scenario: 'placement/round',
    metric: `${engines} engines, ${models} models`,
    value: timeRound(engines, models),
    unit: 'ms',
    bound: '',
    baselines: {},
    seeds: 1,
  }));
}

/**
 * Measures placement against baselines and the clairvoyant bound, and the time of a planning round by
 * size.
 *
 * @param seeds - number of runs of each strategy; their seeds are 1, 2, ...
 * @returns a row for each figure
 */
export function placementRows(seeds: number): BenchRow[] {
  const shapes = Object.keys(deploymentShapes) as ShapeName[];
  return [...shapes.flatMap((shape) => shapeRows(shape, seeds)), ...roundRows()];
}
