import { weightedRendezvous } from '@chervilseam/decisions';
import { Deployment } from '@chervilseam/embedded';
import type { BenchRow } from '../bench-row.js';

const ENDPOINT_COUNT = 600;
const CALL_COUNT = 400;
const GAP_MS = 10;

const row = (metric: string, value: number, unit: string, bound = ''): BenchRow => ({
  scenario: 'ownership',
  metric,
  value,
  unit,
  bound,
  baselines: {},
  seeds: 1,
});

/** Owners that change when one instance goes, against the least that must. */
function movesPerChange(instances: number): BenchRow {
  const members = Array.from({ length: instances }, (_, index) => ({
    name: `instance-${index}`,
    size: 1 + (index % 3),
  }));
  const endpoints = Array.from({ length: ENDPOINT_COUNT }, (_, index) => `engine-${index}`);
  const ownersWith = (list: typeof members): (string | undefined)[] =>
    endpoints.map((endpoint) => weightedRendezvous(endpoint, list)?.name);
  const before = ownersWith(members);
  const gone = members[Math.floor(instances / 2)].name;
  const after = ownersWith(members.filter(({ name }) => name !== gone));
  const owned = before.filter((owner) => owner === gone).length;
  const moved = before.filter((owner, index) => owner !== after[index]).length;
  return row(`movesBeyondNeeded/${instances}`, moved - owned, 'count', '<= 0');
}

/** An instance that owns an engine and is not the one that callers use. */
async function ownerBeside(deployment: Deployment, name: string): Promise<string> {
  const answer = await fetch(`${deployment.operatorUrl(name)}/status`, {
    headers: { authorization: `Bearer ${deployment.operatorKey}` },
  });
  const { endpoints } = (await answer.json()) as { endpoints: { owner: string }[] };
  const found = endpoints.find(({ owner }) => owner !== name);
  if (!found) throw new Error('no other instance owns an engine');
  return found.owner;
}

async function gapWhen(
  name: string,
  act: (deployment: Deployment, victim: string) => void,
): Promise<BenchRow[]> {
  const engine = { residents: { 'model/m@1': 1 }, tokenMs: 1, prefillMs: 1 };
  const deployment = await Deployment.start({
    instanceCount: 4,
    domainCount: 1,
    configToml: '[[model]]\nname = "m"\nweightsBytes = 1\n',
    engines: ['a', 'b', 'c', 'd', 'e', 'f'].map((suffix) => ({
      name: `engine-${suffix}`,
      domain: 0,
      engine,
    })),
    settings: { membership: { periodMs: 500, pingTimeoutMs: 200, suspicionMs: 4_000 } },
  });
  const body = { model: 'm', messages: [{ role: 'user', content: 'x' }], max_tokens: 2 };
  const victim = await ownerBeside(deployment, 'instance-1');
  const times: number[] = [];
  let failures = 0;
  const ask = async (): Promise<void> => {
    const startMs = performance.now();
    const answer = await deployment.call('/v1/chat/completions', { body });
    await answer.text();
    if (answer.status !== 200) failures += 1;
    times.push(performance.now() - startMs);
  };
  const asking: Promise<void>[] = [];
  for (let count = 0; count < CALL_COUNT; count += 1) {
    if (count === CALL_COUNT / 4) act(deployment, victim);
    asking.push(ask());
    // eslint-disable-next-line no-await-in-loop -- requests come at a steady pace
    await Deployment.sleep(GAP_MS);
  }
  await Promise.all(asking);
  deployment.stop();
  return [
    row(`${name}/longestAnswer`, Math.max(...times), 'ms', '<= 1400'),
    row(`${name}/failures`, failures, 'count', '<= 0'),
  ];
}

/**
 * Measures the gap in service when an owner dies or falls silent, and how many owners change when an
 * instance goes.
 *
 * @returns a row for each figure
 */
export async function ownershipRows(): Promise<BenchRow[]> {
  const died = await gapWhen('ownerDied', (deployment, victim) => {
    deployment.killDaemon(victim);
  });
  const silent = await gapWhen('ownerSilent', (deployment, victim) => {
    deployment.daemons.get(victim)?.peers.blocked.add('instance-1');
  });
  return [...died, ...silent, ...[6, 105, 420].map(movesPerChange)];
}
