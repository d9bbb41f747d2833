import { parseArgs } from 'node:util';
import type { BenchRow } from './lib/bench-row.js';
import { duplicatesRows } from './lib/duplicates-rows.js';
import { pathRows } from './lib/path/path-rows.js';
import { placementRows } from './lib/placement/placement-rows.js';
import { policyRows } from './lib/policy/policy-rows.js';
import { printRows } from './lib/print-rows.js';
import { capacityRows } from './lib/state/capacity-rows.js';
import { ownershipRows } from './lib/state/ownership-rows.js';
import { writeReport } from './lib/report/write-report.js';
import { configChangeRows } from './lib/state/config-change-rows.js';
import { configurationRows, membershipRows } from './lib/state/state-rows.js';

const DEFAULT_SEEDS = '10';

/** The benchmarks, by their name on the command line. */
const benchmarks: Readonly<Record<string, (seeds: number) => BenchRow[] | Promise<BenchRow[]>>> = {
  crest: (seeds) => policyRows('crest', seeds),
  overload: (seeds) => policyRows('overload', seeds),
  headofline: (seeds) => policyRows('headofline', seeds),
  slowed: (seeds) => policyRows('slowed', seeds),
  placement: (seeds) => placementRows(seeds),
  duplicates: () => duplicatesRows(),
  capacity: () => capacityRows(),
  path: () => pathRows(),
  ownership: () => ownershipRows(),
  configuration: async () => [...configurationRows(), ...(await configChangeRows())],
  membership: () => membershipRows(Number(process.env.CHERVILSEAM_BENCH_INSTANCES ?? '96')),
};

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    json: { type: 'boolean', default: false },
    report: { type: 'string' },
    seeds: { type: 'string', default: DEFAULT_SEEDS },
  },
});

const selected = positionals.length > 0 ? positionals : Object.keys(benchmarks);
const unknown = selected.filter((name) => !Object.hasOwn(benchmarks, name));
if (unknown.length > 0) {
  const known = Object.keys(benchmarks).join(', ');
  process.stderr.write(`unknown benchmark "${unknown.join(', ')}"; available: ${known}\n`);
  process.exitCode = 2;
}
const allRows: BenchRow[] = [];
// eslint-disable-next-line no-restricted-syntax -- concurrent benchmarks would distort each other's figures
for (const name of unknown.length > 0 ? [] : selected) {
  // eslint-disable-next-line no-await-in-loop -- as above
  const rows = await benchmarks[name](Number(values.seeds));
  allRows.push(...rows);
  printRows(rows, values.json, (line) => process.stdout.write(`${line}\n`));
}
if (values.report !== undefined) {
  await writeReport(values.report, allRows);
  process.stdout.write(`${values.report}/index.html\n`);
}
