import { Deployment } from '@chervilseam/embedded';
import type { BenchRow } from '../bench-row.js';

const INSTANCE_COUNT = 12;
const DOMAIN_COUNT = 4;
const RACE_COUNT = 100;
const CUT_DOMAIN = 'domain-1';

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

const allReached = (deployment: Deployment, offset: number): boolean =>
  [...deployment.daemons.values()].every(({ config }) => config.fold.offset >= offset);

async function race(deployment: Deployment): Promise<BenchRow[]> {
  const racing = Array.from({ length: RACE_COUNT }, (_, index) =>
    deployment.apply(modelToml('raced', index + 1)),
  );
  const results = await Promise.allSettled(racing);
  const endedMs = performance.now();
  const end = deployment.log.peek('config').length;
  await deployment.waitFor('all have read the race', () => allReached(deployment, end));
  const inForceMs = performance.now() - endedMs;
  const chains = new Set([...deployment.daemons.values()].map(({ config }) => config.fold.chain));
  const accepted = results.filter(({ status }) => status === 'fulfilled').length;
  return [
    row('race/accepted', accepted, 'count', '>= 1'),
    row('race/inForceAfter', inForceMs, 'ms', '<= 14000'),
    row('race/differentStates', chains.size - 1, 'count', '<= 0'),
  ];
}

async function cutAndHeal(deployment: Deployment): Promise<BenchRow[]> {
  const domainOf = (name: string): string =>
    `domain-${((Number(name.split('-')[1]) - 1) % DOMAIN_COUNT) + 1}`;
  const daemons = [...deployment.daemons];
  const inside = daemons.filter(([name]) => domainOf(name) === CUT_DOMAIN);
  const outside = daemons.filter(([name]) => domainOf(name) !== CUT_DOMAIN);
  inside.forEach(([, daemon]) => {
    daemon.blockLog(true);
    outside.forEach(([name]) => daemon.peers.blocked.add(name));
  });
  const before = inside.map(([, { config }]) => config.fold.offset);
  const offset = await deployment.apply(modelToml('while-cut', 1));
  await deployment.waitFor('the others have it', () =>
    outside.every(([, { config }]) => config.fold.offset >= offset),
  );
  const isCut = inside.every(([, { config }], index) => config.fold.offset === before[index]);
  const healedMs = performance.now();
  inside.forEach(([, daemon]) => {
    daemon.blockLog(false);
    daemon.peers.blocked.clear();
  });
  await deployment.waitFor('the cut ones have it', () => allReached(deployment, offset));
  return [
    row('cut/heldBack', isCut ? 1 : 0, 'boolean', '>= 1'),
    row('cut/inForceAfterHealing', performance.now() - healedMs, 'ms', '<= 14000'),
  ];
}

/**
 * Lets operators race at one object, and cuts a failure domain off while a change is made, on real
 * daemons.
 *
 * @returns a row for each figure
 */
export async function racingRows(): Promise<BenchRow[]> {
  const deployment = await Deployment.start({
    instanceCount: INSTANCE_COUNT,
    domainCount: DOMAIN_COUNT,
    configToml: modelToml('first', 1),
  });
  const rows = [...(await race(deployment)), ...(await cutAndHeal(deployment))];
  deployment.stop();
  return rows;
}
