import { ConfigFold, ConfigView } from '@chervilseam/decisions';
import type { BenchRow } from '../bench-row.js';
import { linearFit } from './linear-fit.js';
import { measureIdle } from './measure-idle.js';
import { measureMachine } from './measure-machine.js';

const SIZES = [6, 12, 24, 48, 96];
const MACHINE_SIZES = [105, 210, 420];
const TARGET_INSTANCES = 420;
const START_RECORDS = 10_000;

const row = (
  scenario: string,
  metric: string,
  value: number,
  unit: string,
  bound = '',
): BenchRow => ({ scenario, metric, value, unit, bound, baselines: {}, seeds: 1 });

interface Figures {
  readonly slope: number;
  readonly errorShare: number;
  readonly atTarget: number;
}

type Measure = Awaited<ReturnType<typeof measureIdle>>;

/** How a figure grows: with the logarithm of the group, or not; or it is one instance's part. */
interface FittedFigure {
  readonly metric: keyof Measure;
  readonly unit: string;
  /** Bound that holds at each size and at the target. */
  readonly bound: string;
  /**
   * `log`: the figure is fitted by the group's logarithm. `total`: the whole process is fitted by the
   * number of instances, and the slope is one instance's part, without the stand-ins' fixed cost.
   */
  readonly by: 'log' | 'total';
}

const fitted: readonly FittedFigure[] = [
  { metric: 'sentBytesPerSecond', unit: 'bytes/s', bound: '<= 15000', by: 'log' },
  { metric: 'startBytesPerSecond', unit: 'bytes/s', bound: '<= 15000', by: 'log' },
  { metric: 'coreShare', unit: 'cores', bound: '<= 0.04', by: 'total' },
  { metric: 'heapBytes', unit: 'bytes', bound: '<= 128000000', by: 'total' },
  { metric: 'leaveMs', unit: 'ms', bound: '<= 3000', by: 'log' },
  { metric: 'deathMs', unit: 'ms', bound: '', by: 'log' },
  { metric: 'changeMs', unit: 'ms', bound: '<= 14000', by: 'log' },
];

type Point = readonly [number, number];

const fits: Readonly<Record<FittedFigure['by'], (points: readonly Point[]) => Figures>> = {
  log: (points) => {
    const fit = linearFit(points.map(([size, value]) => [Math.log2(size), value] as const));
    const atTarget = fit.intercept + fit.slope * Math.log2(TARGET_INSTANCES);
    return { slope: fit.slope, errorShare: fit.errorShare, atTarget };
  },
  total: (points) => {
    const fit = linearFit(points.map(([size, value]) => [size, size * value] as const));
    return { slope: fit.slope, errorShare: fit.errorShare, atTarget: fit.slope };
  },
};

/**
 * Measures what an instance costs while idle, by size of the group, on real daemons; and the state
 * machine of the heartbeats alone at the target's size.
 *
 * @param sizeMax - largest number of daemons
 * @returns a row for each figure, with the slope and what it says of the target
 */
export async function membershipRows(sizeMax: number): Promise<BenchRow[]> {
  const measures: Measure[] = [];
  // eslint-disable-next-line no-restricted-syntax -- one size after another
  for (const size of SIZES.filter((candidate) => candidate <= sizeMax)) {
    // eslint-disable-next-line no-await-in-loop -- one size after another
    measures.push(await measureIdle(size));
  }
  const daemons = measures.flatMap((measure) => {
    const { instances, falseDeaths } = measure;
    const rows = fitted.map(({ metric, unit, bound }) =>
      row('membership', `${metric}/${instances}`, measure[metric], unit, bound),
    );
    return [...rows, row('membership', `falseDeaths/${instances}`, falseDeaths, 'count', '<= 0')];
  });
  const slopes = fitted.flatMap(({ metric, unit, bound, by }) => {
    const points = measures.map((measure) => [measure.instances, measure[metric]] as const);
    const { slope, errorShare, atTarget } = fits[by](points);
    const each = by === 'log' ? 'doubling' : 'instance';
    return [
      row('membership', `${metric}/slope`, slope, `${unit} a ${each}`),
      row('membership', `${metric}/fitError`, errorShare, 'ratio'),
      row('membership', `${metric}/at420`, atTarget, unit, bound),
    ];
  });
  const machines = MACHINE_SIZES.map(measureMachine).flatMap((measure) => [
    row(
      'membership',
      `machine/sent/${measure.instances}`,
      measure.sentBytesPerSecond,
      'bytes/s',
      '<= 15000',
    ),
    row(
      'membership',
      `machine/received/${measure.instances}`,
      measure.receivedBytesPerSecond,
      'bytes/s',
    ),
    row('membership', `machine/core/${measure.instances}`, measure.coreShare, 'cores', '<= 0.04'),
    row(
      'membership',
      `machine/heap/${measure.instances}`,
      measure.heapBytes,
      'bytes',
      '<= 128000000',
    ),
  ]);
  return [...daemons, ...slopes, ...machines];
}

/**
 * Measures the start with many records.
 *
 * @returns the time to fold them and to index the outcome
 */
export function configurationRows(): BenchRow[] {
  const sizes = [2_500, 5_000, START_RECORDS];
  return sizes.flatMap((count) => {
    const records = Array.from({ length: count }, (_, index) => {
      const name = `m${index % 500}`;
      const baseRevision = index < 500 ? 0 : index - 500 + 1;
      const body = { name, weightsBytes: index };
      const changes = [{ kind: 'model', name, baseRevision, body }];
      return { type: 'config', id: `r${index}`, author: 'bench', changes };
    });
    const startMs = performance.now();
    const fold = new ConfigFold();
    records.forEach((record, index) => fold.apply(index + 1, record));
    const foldMs = performance.now() - startMs;
    const viewMs = performance.now();
    const view = new ConfigView(fold.offset, fold.objects);
    const indexMs = performance.now() - viewMs;
    const snapshotBytes = JSON.stringify(fold.snapshot()).length;
    return [
      row('configuration', `startUp/${count}`, foldMs, 'ms', '<= 14000'),
      row('configuration', `index/${count}`, indexMs, 'ms'),
      row('configuration', `snapshot/${count}`, snapshotBytes, 'bytes'),
      row('configuration', `objects/${count}`, view.models.size, 'count'),
    ];
  });
}
