import { Deployment } from '@chervilseam/embedded';
import type { BenchRow } from '../bench-row.js';

const INSTANCE_COUNT = 12;
const DOMAIN_COUNT = 4;
/** Number of concurrent changes of one object. */
const CONCURRENT_CHANGE_COUNT = 100;
const ISOLATED_DOMAIN = 'domain-1';

const row = (metric: string, value: number, unit: string, bound = ''): BenchRow => ({
  scenario: 'configuration',
  metric,
  value,
  unit,
  bound,
  baselines: {},
  seeds: 1,
});

const modelToml = (name: string, weightsBytes: number): string =>
  `[[model]]\nname = "${name}"\nweightsBytes = ${weightsBytes}\n`;

const allHaveApplied = (deployment: Deployment, offset: number): boolean =>
  [...deployment.daemons.values()].every(({ config }) => config.fold.offset >= offset);

/** Publishes concurrent changes of one object and waits until all daemons agree on its state. */
async function measureRace(deployment: Deployment): Promise<BenchRow[]> {
  const changes = Array.from({ length: CONCURRENT_CHANGE_COUNT }, (_, index) =>
    deployment.apply(modelToml('raced', index + 1)),
  );
  const results = await Promise.allSettled(changes);
  const endedMs = performance.now();
  const endOffset = deployment.log.peek('config').length;
  await deployment.waitFor('all daemons have applied the concurrent changes', () =>
    allHaveApplied(deployment, endOffset),
  );
  const inForceMs = performance.now() - endedMs;
  const chains = new Set([...deployment.daemons.values()].map(({ config }) => config.fold.chain));
  const accepted = results.filter(({ status }) => status === 'fulfilled').length;
  return [
    row('race/accepted', accepted, 'count', '>= 1'),
    row('race/inForceAfter', inForceMs, 'ms', '<= 14000'),
    row('race/differentStates', chains.size - 1, 'count', '<= 0'),
  ];
}

/** Isolates a failure domain, publishes a change, reconnects the domain and waits for the change. */
async function measurePartition(deployment: Deployment): Promise<BenchRow[]> {
  const domainOf = (name: string): string =>
    `domain-${((Number(name.split('-')[1]) - 1) % DOMAIN_COUNT) + 1}`;
  const daemons = [...deployment.daemons];
  const isolated = daemons.filter(([name]) => domainOf(name) === ISOLATED_DOMAIN);
  const others = daemons.filter(([name]) => domainOf(name) !== ISOLATED_DOMAIN);
  isolated.forEach(([, daemon]) => {
    daemon.blockLog(true);
    others.forEach(([name]) => daemon.peers.blocked.add(name));
  });
  const offsetsBefore = isolated.map(([, { config }]) => config.fold.offset);
  const offset = await deployment.apply(modelToml('while-cut', 1));
  await deployment.waitFor('the connected daemons have applied the change', () =>
    others.every(([, { config }]) => config.fold.offset >= offset),
  );
  const stayedBehind = isolated.every(
    ([, { config }], index) => config.fold.offset === offsetsBefore[index],
  );
  const healedMs = performance.now();
  isolated.forEach(([, daemon]) => {
    daemon.blockLog(false);
    daemon.peers.blocked.clear();
  });
  await deployment.waitFor('the reconnected daemons have applied the change', () =>
    allHaveApplied(deployment, offset),
  );
  return [
    row('cut/heldBack', stayedBehind ? 1 : 0, 'boolean', '>= 1'),
    row('cut/inForceAfterHealing', performance.now() - healedMs, 'ms', '<= 14000'),
  ];
}

/**
 * Measures configuration changes on real daemons: concurrent changes of one object, and a change that
 * is published while a failure domain is isolated.
 *
 * @returns a row for each figure
 */
export async function configChangeRows(): Promise<BenchRow[]> {
  const deployment = await Deployment.start({
    instanceCount: INSTANCE_COUNT,
    domainCount: DOMAIN_COUNT,
    configToml: modelToml('first', 1),
  });
  const rows = [...(await measureRace(deployment)), ...(await measurePartition(deployment))];
  deployment.stop();
  return rows;
}
