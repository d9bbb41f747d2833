import { Deployment } from '@chervilseam/embedded';
import { Random } from '@chervilseam/decisions';
import type { BenchRow } from './bench-row.js';

const KEY_COUNT = 60;
const CALLS_PER_KEY = 4;
const configToml = `
[[service]]
name = "order-desk"
[[policy]]
name = "orders-run-once"
services = { equal = {} }
nonIdempotent = true
`;

/**
 * Repeats orders at all instances while answers are lost, the log fails and an instance is killed, and
 * counts effects.
 *
 * @returns a row for each figure
 */
export async function duplicatesRows(): Promise<BenchRow[]> {
  const random = new Random(17);
  const deployment = await Deployment.start({
    instanceCount: 4,
    domainCount: 2,
    configToml,
    services: [
      { name: 'desk-1', domain: 0, service: 'order-desk' },
      { name: 'desk-2', domain: 1, service: 'order-desk' },
    ],
  });
  const desks = [...deployment.services.values()];
  const said = new Map<string, string[]>();
  const order = async (reference: string): Promise<void> => {
    const instance = random.pick([...deployment.daemons.keys()]) ?? 'instance-1';
    const headers = { 'idempotency-key': reference };
    const path = '/services/order-desk/orders';
    const answer = await deployment
      .call(path, { instance, body: { reference }, headers })
      .catch(() => undefined);
    await answer?.text().catch(() => '');
    const outcome = answer?.headers.get('chervilseam-outcome') ?? 'lost';
    said.set(reference, [...(said.get(reference) ?? []), outcome]);
  };
  const calls: Promise<void>[] = [];
  for (let count = 0; count < KEY_COUNT * CALLS_PER_KEY; count += 1) {
    const step = count % 40;
    if (step === 5) desks.forEach((desk) => Object.assign(desk, { lostAnswerCount: 1 }));
    if (step === 10) deployment.log.faults.isDown = true;
    if (step === 18) deployment.log.faults.isDown = false;
    if (step === 22) deployment.log.faults.lostAnswerCount = 2;
    if (step === 26) deployment.log.faults.doubledAppendCount = 2;
    if (step === 30) desks.forEach((desk) => Object.assign(desk, { refusalCount: 2 }));
    if (count === 120) deployment.killDaemon('instance-4');
    calls.push(order(`order-${random.below(KEY_COUNT)}`));
    // eslint-disable-next-line no-await-in-loop -- requests come at a steady pace
    await Deployment.sleep(8);
  }
  await Promise.all(calls);
  const effectsOf = (reference: string): number =>
    desks.reduce((sum, { effects }) => sum + (effects.get(reference) ?? 0), 0);
  const references = [...said.keys()];
  const doubled = references.filter((reference) => effectsOf(reference) > 1).length;
  // An order that took effect although every one of its answers promised that it did not run.
  const untrue = references.filter((reference) => {
    const outcomes = said.get(reference) ?? [];
    return effectsOf(reference) > 0 && outcomes.every((outcome) => outcome === 'not-run');
  }).length;
  const ran = references.filter((reference) => effectsOf(reference) === 1).length;
  deployment.stop();
  const row = (metric: string, value: number, bound = ''): BenchRow => ({
    scenario: 'duplicates',
    metric,
    value,
    unit: 'count',
    bound,
    baselines: {},
    seeds: 1,
  });
  return [
    row('keysThatRanTwice', doubled, '<= 0'),
    row('untrueRefusals', untrue, '<= 0'),
    row('keysThatRan', ran),
    row('keys', references.length),
  ];
}
