import { weightedRendezvous } from '@chervilseam/decisions';
import { Deployment } from '@chervilseam/embedded';
import type { BenchRow } from '../bench-row.js';

const ENDPOINT_COUNT = 600;
const REQUEST_COUNT = 400;
/** Time between requests. */
const REQUEST_INTERVAL_MS = 10;

const row = (metric: string, value: number, unit: string, bound = ''): BenchRow => ({
  scenario: 'ownership',
  metric,
  value,
  unit,
  bound,
  baselines: {},
  seeds: 1,
});

/** Counts the endpoints whose owner changes when an instance is removed that did not own them. */
function countExcessMoves(instances: number): BenchRow {
  const members = Array.from({ length: instances }, (_, index) => ({
    name: `instance-${index}`,
    size: 1 + (index % 3),
  }));
  const endpoints = Array.from({ length: ENDPOINT_COUNT }, (_, index) => `engine-${index}`);
  const ownersAmong = (list: typeof members): (string | undefined)[] =>
    endpoints.map((endpoint) => weightedRendezvous(endpoint, list)?.name);
  const before = ownersAmong(members);
  const removed = members[Math.floor(instances / 2)].name;
  const after = ownersAmong(members.filter(({ name }) => name !== removed));
  const owned = before.filter((owner) => owner === removed).length;
  const moved = before.filter((owner, index) => owner !== after[index]).length;
  return row(`movesBeyondNeeded/${instances}`, moved - owned, 'count', '<= 0');
}

/** @returns an instance that owns an engine, other than the named one, which callers use */
async function findOtherOwner(deployment: Deployment, name: string): Promise<string> {
  const answer = await fetch(`${deployment.operatorUrl(name)}/status`, {
    headers: { authorization: `Bearer ${deployment.operatorKey}` },
  });
  const { endpoints } = (await answer.json()) as { endpoints: { owner: string }[] };
  const found = endpoints.find(({ owner }) => owner !== name);
  if (!found) throw new Error('found no engine that another instance owns');
  return found.owner;
}

/**
 * Sends requests at a constant rate and disrupts an owner after a quarter of them.
 *
 * @param name - name of the disruption, for the rows
 * @param disrupt - disrupts an instance that owns an engine
 * @returns the longest time to an answer, and the number of failed requests
 */
async function measureOutage(
  name: string,
  disrupt: (deployment: Deployment, victim: string) => void,
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
  const victim = await findOtherOwner(deployment, 'instance-1');
  const answerTimes: number[] = [];
  let failures = 0;
  const sendRequest = async (): Promise<void> => {
    const startMs = performance.now();
    const answer = await deployment.call('/v1/chat/completions', { body });
    await answer.text();
    if (answer.status !== 200) failures += 1;
    answerTimes.push(performance.now() - startMs);
  };
  const pending: Promise<void>[] = [];
  for (let count = 0; count < REQUEST_COUNT; count += 1) {
    if (count === REQUEST_COUNT / 4) disrupt(deployment, victim);
    pending.push(sendRequest());
    // eslint-disable-next-line no-await-in-loop -- requests are sent at a constant rate
    await Deployment.sleep(REQUEST_INTERVAL_MS);
  }
  await Promise.all(pending);
  deployment.stop();
  return [
    row(`${name}/longestAnswer`, Math.max(...answerTimes), 'ms', '<= 1400'),
    row(`${name}/failures`, failures, 'count', '<= 0'),
  ];
}

/**
 * Measures how long requests are delayed when an owner dies or becomes unreachable, and how many
 * endpoints change their owner without need when an instance is removed.
 *
 * @returns a row for each figure
 */
export async function ownershipRows(): Promise<BenchRow[]> {
  const ownerDied = await measureOutage('ownerDied', (deployment, victim) => {
    deployment.killDaemon(victim);
  });
  const ownerSilent = await measureOutage('ownerSilent', (deployment, victim) => {
    deployment.daemons.get(victim)?.peers.blocked.add('instance-1');
  });
  return [...ownerDied, ...ownerSilent, ...[6, 105, 420].map(countExcessMoves)];
}
