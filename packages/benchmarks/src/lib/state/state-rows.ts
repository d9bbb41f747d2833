import { ConfigFold, ConfigView } from '@chervilseam/decisions';
import type { BenchRow } from '../bench-row.js';
import { linearFit } from './linear-fit.js';
import { measureIdle } from './measure-idle.js';
import { measureMembershipState } from './measure-membership-state.js';

/** Group sizes that are run with real daemons. */
const DAEMON_COUNTS = [6, 12, 24, 48, 96];
/** Group sizes at which only the membership state machine of one instance is run. */
const SIMULATED_INSTANCE_COUNTS = [105, 210, 420];
/** Number of instances for which the system is designed. */
const TARGET_INSTANCE_COUNT = 420;
/** Largest number of configuration records with which a start is measured. */
const STARTUP_RECORD_COUNT = 10_000;

const row = (
  scenario: string,
  metric: string,
  value: number,
  unit: string,
  bound = '',
): BenchRow => ({ scenario, metric, value, unit, bound, baselines: {}, seeds: 1 });

interface Figures {
  readonly slope: number;
  /** Error of the fit, as a fraction of the largest value. */
  readonly errorShare: number;
  /** Value extrapolated to the target size. */
  readonly atTarget: number;
}

type Measure = Awaited<ReturnType<typeof measureIdle>>;

/** A figure that is measured at several group sizes and extrapolated to the target size. */
interface FittedFigure {
  readonly metric: keyof Measure;
  readonly unit: string;
  /** Bound at each size and at the target; empty for none. */
  readonly bound: string;
  /**
   * `log`: the figure is fitted against the logarithm of the group size. `total`: the sum over all
   * instances is fitted against the number of instances; the slope is the cost of one instance,
   * without the fixed cost of the stand-ins.
   */
  readonly by: 'log' | 'total';
}

const fittedFigures: readonly FittedFigure[] = [
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
    const atTarget = fit.intercept + fit.slope * Math.log2(TARGET_INSTANCE_COUNT);
    return { slope: fit.slope, errorShare: fit.errorShare, atTarget };
  },
  total: (points) => {
    const fit = linearFit(points.map(([size, value]) => [size, size * value] as const));
    return { slope: fit.slope, errorShare: fit.errorShare, atTarget: fit.slope };
  },
};

/**
 * Measures the cost of an idle instance with real daemons, by size of the group, and that of the
 * membership state machine alone, up to the target size.
 *
 * @param sizeMax - largest group of real daemons
 * @returns rows for each figure: its values, its slope and its extrapolation to the target size
 */
export async function membershipRows(sizeMax: number): Promise<BenchRow[]> {
  const measures: Measure[] = [];
  // eslint-disable-next-line no-restricted-syntax -- groups of daemons must not run at once
  for (const size of DAEMON_COUNTS.filter((candidate) => candidate <= sizeMax)) {
    // eslint-disable-next-line no-await-in-loop -- as above
    measures.push(await measureIdle(size));
  }
  const daemonRows = measures.flatMap((measure) => {
    const { instances, falseDeaths } = measure;
    const rows = fittedFigures.map(({ metric, unit, bound }) =>
      row('membership', `${metric}/${instances}`, measure[metric], unit, bound),
    );
    return [...rows, row('membership', `falseDeaths/${instances}`, falseDeaths, 'count', '<= 0')];
  });
  const fitRows = fittedFigures.flatMap(({ metric, unit, bound, by }) => {
    const points = measures.map((measure) => [measure.instances, measure[metric]] as const);
    const { slope, errorShare, atTarget } = fits[by](points);
    const each = by === 'log' ? 'doubling' : 'instance';
    return [
      row('membership', `${metric}/slope`, slope, `${unit} a ${each}`),
      row('membership', `${metric}/fitError`, errorShare, 'ratio'),
      row('membership', `${metric}/at420`, atTarget, unit, bound),
    ];
  });
  const simulated = SIMULATED_INSTANCE_COUNTS.map(measureMembershipState).flatMap((measure) => [
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
  return [...daemonRows, ...fitRows, ...simulated];
}

/**
 * Measures how long an instance takes to fold the records of the configuration log when it starts.
 *
 * @returns rows for the time to fold them, the time to index the result, and their sizes
 */
export function configurationRows(): BenchRow[] {
  const sizes = [2_500, 5_000, STARTUP_RECORD_COUNT];
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
    const viewStartMs = performance.now();
    const view = new ConfigView(fold.offset, fold.objects);
    const indexMs = performance.now() - viewStartMs;
    const snapshotBytes = JSON.stringify(fold.snapshot()).length;
    return [
      row('configuration', `startUp/${count}`, foldMs, 'ms', '<= 14000'),
      row('configuration', `index/${count}`, indexMs, 'ms'),
      row('configuration', `snapshot/${count}`, snapshotBytes, 'bytes'),
      row('configuration', `objects/${count}`, view.models.size, 'count'),
    ];
  });
}
