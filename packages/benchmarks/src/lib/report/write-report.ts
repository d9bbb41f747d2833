import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { TopLevelSpec } from 'vega-lite';
import type { BenchRow } from '../bench-row.js';
import { placementTrace } from '../placement/placement-trace.js';
import { renderPlot } from './render-plot.js';

const SYSTEM_POLICY = 'chervilseam';
/** Size of a plot, in pixels. */
const WIDTH = 420;
const HEIGHT = 260;

/** The value of one figure for one policy, as plotted. */
interface PolicyPoint {
  readonly policy: string;
  readonly value: number;
}

/** A plot with its title and explanation. */
interface Section {
  readonly title: string;
  readonly text: string;
  readonly spec: TopLevelSpec;
}

const escape = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

const pointsOf = (row: BenchRow | undefined): PolicyPoint[] =>
  row === undefined
    ? []
    : [
        { policy: SYSTEM_POLICY, value: row.value },
        ...Object.entries(row.baselines).map(([policy, value]) => ({ policy, value })),
      ];

const findRow = (
  rows: readonly BenchRow[],
  scenario: string,
  metric: string,
): BenchRow | undefined => rows.find((row) => row.scenario === scenario && row.metric === metric);

const barChart = (points: readonly PolicyPoint[], title: string): TopLevelSpec => ({
  width: WIDTH,
  height: HEIGHT,
  data: { values: [...points] },
  mark: 'bar',
  encoding: {
    x: { field: 'policy', type: 'nominal', sort: null, title: null, axis: { labelAngle: -30 } },
    y: { field: 'value', type: 'quantitative', title },
    color: {
      condition: { test: `datum.policy === '${SYSTEM_POLICY}'`, value: '#1b7f4d' },
      value: '#9aa7b1',
    },
  },
});

function attainmentAgainstMoves(rows: readonly BenchRow[], shape: string): Section {
  const attainment = pointsOf(findRow(rows, `placement/${shape}`, 'attainment'));
  const moves = pointsOf(findRow(rows, `placement/${shape}`, 'moves'));
  const values = attainment.map(({ policy, value }) => ({
    policy,
    attainment: value,
    moves: moves.find((point) => point.policy === policy)?.value ?? 0,
  }));
  return {
    title: `Attainment against moves: ${shape}`,
    text: 'Better towards the upper left. The axis of moves has a square-root scale.',
    spec: {
      width: WIDTH,
      height: HEIGHT,
      data: { values },
      encoding: {
        x: { field: 'moves', type: 'quantitative', scale: { type: 'sqrt' } },
        y: { field: 'attainment', type: 'quantitative', scale: { zero: false } },
      },
      layer: [
        { mark: { type: 'point', filled: true, size: 90 } },
        { mark: { type: 'text', dy: -12 }, encoding: { text: { field: 'policy' } } },
      ],
    },
  };
}

function memoryOverTime(shape: 'kovacic' | 'omslagsverk'): Section {
  const { points, capacityBytes } = placementTrace(shape, 1);
  return {
    title: `Memory of each engine against its capacity: ${shape}`,
    text: 'Gigabytes in use over seconds; the line at the top of each chart is the capacity.',
    spec: {
      data: { values: [...points] },
      facet: { row: { field: 'engine', type: 'nominal', title: null } },
      spec: {
        width: 2 * WIDTH,
        height: 40,
        layer: [
          {
            mark: { type: 'area', interpolate: 'step-after', color: '#7fb89a' },
            encoding: {
              x: { field: 'atS', type: 'quantitative', title: 's' },
              // Without this, Vega-Lite stacks two changes at the same time on top of each other.
              y: { field: 'gigabytes', type: 'quantitative', title: 'GB', stack: null },
            },
          },
          {
            mark: { type: 'rule', color: '#b03030' },
            encoding: { y: { datum: capacityBytes / 1e9 } },
          },
        ],
      },
    },
  };
}

function barSections(rows: readonly BenchRow[]): Section[] {
  const charts = [
    ['crest', 'attainment', 'Demand peak: attainment'],
    ['crest', 'counterAttainment', 'Demand peak: attainment of order counters'],
    ['headofline', 'shortAttainment', 'Head-of-line blocking: attainment of short requests'],
    [
      'headofline',
      'shortPaceRatio',
      'Head-of-line blocking: time per token of short requests, relative to a run without long ones',
    ],
    [
      'slowed',
      'firstTokenRatio',
      'Slowed engines: p99 time to first token, relative to an undisturbed run',
    ],
    ['slowed', 'paceRatio', 'Slowed engines: p99 time per token, relative to an undisturbed run'],
  ] as const;
  return ['kovacic', 'omslagsverk'].flatMap((shape) =>
    charts.flatMap(([scenario, metric, title]) => {
      const points = pointsOf(findRow(rows, `${scenario}/${shape}`, metric));
      if (points.length === 0) return [];
      return [{ title: `${title} (${shape})`, text: '', spec: barChart(points, metric) }];
    }),
  );
}

function rowTable(rows: readonly BenchRow[]): string {
  const cells = rows.map(({ scenario, metric, value, unit, bound }) =>
    [scenario, metric, Number(value.toPrecision(4)), unit, bound]
      .map((cell) => `<td>${escape(String(cell))}</td>`)
      .join(''),
  );
  const head = '<tr><th>scenario</th><th>metric</th><th>value</th><th>unit</th><th>bound</th></tr>';
  return `<table>${head}${cells.map((row) => `<tr>${row}</tr>`).join('')}</table>`;
}

/**
 * Writes a self-contained HTML page with plots and all figures.
 *
 * @param folder - folder for `index.html`; created if it does not exist
 * @param rows - rows of the benchmarks that were run
 */
export async function writeReport(folder: string, rows: readonly BenchRow[]): Promise<void> {
  const hasPlacement = rows.some(({ scenario }) => scenario.startsWith('placement/'));
  const placement = hasPlacement
    ? [
        attainmentAgainstMoves(rows, 'kovacic'),
        attainmentAgainstMoves(rows, 'omslagsverk'),
        memoryOverTime('kovacic'),
        memoryOverTime('omslagsverk'),
      ]
    : [];
  const sections = [...placement, ...barSections(rows)];
  const renderedSections = await Promise.all(
    sections.map(async ({ title, text, spec }) => {
      const svg = await renderPlot(spec);
      return `<section><h2>${escape(title)}</h2><p>${escape(text)}</p>${svg}</section>`;
    }),
  );
  const style =
    'body{font-family:sans-serif;margin:2rem;max-width:1200px}' +
    'section{display:inline-block;vertical-align:top;margin:0 2rem 1rem 0}' +
    'td,th{padding:0.1rem 0.8rem;text-align:left}h2{font-size:1rem}';
  const page =
    `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>chervilseam benchmarks</title>` +
    `<style>${style}</style></head><body><h1>chervilseam benchmarks</h1>${renderedSections.join('')}` +
    `<h1>All figures</h1>${rowTable(rows)}</body></html>`;
  await mkdir(folder, { recursive: true });
  await writeFile(join(folder, 'index.html'), page);
}
