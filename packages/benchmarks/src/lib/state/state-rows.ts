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

type Measure = Awaited<ReturnType<typeof measureIdle>>;

/** Figures that are fitted by size, with the bound that holds at the target. */
const fitted: readonly (readonly [keyof Measure, string, string])[] = [
  ['sentBytesPerSecond', 'bytes/s', '<= 15000'],
  ['coreShare', 'cores', '<= 0.04'],
  ['heapBytes', 'bytes', '<= 128000000'],
  ['leaveMs', 'ms', '<= 3000'],
  ['deathMs', 'ms', ''],
  ['changeMs', 'ms', '<= 14000'],
];

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
  const daemons = measures.flatMap((measure) =>
    [...fitted.map(([metric, unit, bound]) => [metric, unit, bound] as const)]
      .map(([metric, unit, bound]) =>
        row('membership', `${metric}/${measure.instances}`, measure[metric], unit, bound),
      )
      .concat(
        row('membership', `falseDeaths/${measure.instances}`, measure.falseDeaths, 'count', '<= 0'),
      ),
  );
  const slopes = fitted.flatMap(([metric, unit, bound]) => {
    const { slope, intercept, errorShare } = linearFit(
      measures.map((measure) => [measure.instances, measure[metric]] as const),
    );
    return [
      row('membership', `${metric}/slope`, slope, `${unit} per instance`),
      row('membership', `${metric}/fitError`, errorShare, 'ratio'),
      row('membership', `${metric}/at420`, intercept + slope * TARGET_INSTANCES, unit, bound),
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
