import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { TopLevelSpec } from 'vega-lite';
import type { BenchRow } from '../bench-row.js';
import { placementTrace } from '../placement/placement-trace.js';
import { renderPlot } from './render-plot.js';

const OURS = 'chervilseam';
const WIDTH = 420;
const HEIGHT = 260;

/** One figure of one policy, for a plot. */
interface PolicyPoint {
  readonly policy: string;
  readonly value: number;
}

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
        { policy: OURS, value: row.value },
        ...Object.entries(row.baselines).map(([policy, value]) => ({ policy, value })),
      ];

const find = (rows: readonly BenchRow[], scenario: string, metric: string): BenchRow | undefined =>
  rows.find((row) => row.scenario === scenario && row.metric === metric);

const bars = (points: readonly PolicyPoint[], title: string): TopLevelSpec => ({
  width: WIDTH,
  height: HEIGHT,
  data: { values: [...points] },
  mark: 'bar',
  encoding: {
    x: { field: 'policy', type: 'nominal', sort: null, title: null, axis: { labelAngle: -30 } },
    y: { field: 'value', type: 'quantitative', title },
    color: {
      condition: { test: `datum.policy === '${OURS}'`, value: '#1b7f4d' },
      value: '#9aa7b1',
    },
  },
});

function attainmentAgainstMoves(rows: readonly BenchRow[], shape: string): Section {
  const attainment = pointsOf(find(rows, `placement/${shape}`, 'attainment'));
  const moves = pointsOf(find(rows, `placement/${shape}`, 'moves'));
  const values = attainment.map(({ policy, value }) => ({
    policy,
    attainment: value,
    moves: moves.find((point) => point.policy === policy)?.value ?? 0,
  }));
  return {
    title: `Attainment against moves: ${shape}`,
    text: 'Up and to the left is better. Moves are on a scale that grows with their root.',
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
    text: 'The line at the top of each strip is the capacity; gigabytes over seconds.',
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
              // Two changes at one time are two heights of one area, not two areas on one another.
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
  const wanted = [
    ['crest', 'attainment', 'Crest: attainment'],
    ['crest', 'counterAttainment', 'Crest: attainment of counter callers'],
    ['headofline', 'shortAttainment', 'Head of line: attainment of short requests'],
    [
      'headofline',
      'shortPaceRatio',
      'Head of line: pace of short requests, times the run without long ones',
    ],
    ['slowed', 'firstTokenRatio', 'Slowed: first token p99, times the calm run'],
    ['slowed', 'paceRatio', 'Slowed: pace p99, times the calm run'],
  ] as const;
  return ['kovacic', 'omslagsverk'].flatMap((shape) =>
    wanted.flatMap(([scenario, metric, title]) => {
      const points = pointsOf(find(rows, `${scenario}/${shape}`, metric));
      if (points.length === 0) return [];
      return [{ title: `${title} (${shape})`, text: '', spec: bars(points, metric) }];
    }),
  );
}

function table(rows: readonly BenchRow[]): string {
  const cells = rows.map(({ scenario, metric, value, unit, bound }) =>
    [scenario, metric, Number(value.toPrecision(4)), unit, bound]
      .map((cell) => `<td>${escape(String(cell))}</td>`)
      .join(''),
  );
  const head = '<tr><th>scenario</th><th>metric</th><th>value</th><th>unit</th><th>bound</th></tr>';
  return `<table>${head}${cells.map((row) => `<tr>${row}</tr>`).join('')}</table>`;
}

/**
 * Writes one page with plots and all figures; it needs nothing else to be looked at.
 *
 * @param folder - where to write `index.html`
 * @param rows - figures of the benchmarks that were run
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
  const drawn = await Promise.all(
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
    `<style>${style}</style></head><body><h1>chervilseam benchmarks</h1>${drawn.join('')}` +
    `<h1>All figures</h1>${table(rows)}</body></html>`;
  await mkdir(folder, { recursive: true });
  await writeFile(join(folder, 'index.html'), page);
}
