import type { BenchRow } from './bench-row.js';

const SIGNIFICANT_DIGITS = 4;

const round = (value: number): number => Number(value.toPrecision(SIGNIFICANT_DIGITS));

const comparisons: Readonly<Record<string, (value: number, limit: number) => boolean>> = {
  '>=': (value, limit) => value >= limit,
  '<=': (value, limit) => value <= limit,
};

function verdict({ bound, value }: BenchRow): string {
  if (bound === '') return '';
  const [operator, limit] = bound.split(' ');
  return comparisons[operator](value, Number(limit)) ? 'reached' : 'NOT REACHED';
}

/**
 * Prints rows.
 *
 * @param rows - the rows
 * @param isJson - whether to print one JSON object per line instead of text
 * @param write - called with each line
 */
export function printRows(
  rows: readonly BenchRow[],
  isJson: boolean,
  write: (line: string) => void,
): void {
  rows.forEach((row) => {
    if (isJson) {
      write(JSON.stringify(row));
      return;
    }
    const others = Object.entries(row.baselines).map(([name, value]) => `${name} ${round(value)}`);
    const parts = [row.scenario, row.metric, `${round(row.value)} ${row.unit}`, row.bound];
    write([...parts, verdict(row), others.join(', ')].join(' | '));
  });
}
