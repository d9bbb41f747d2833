import { Deployment } from '@chervilseam/embedded';
import { Random } from '@chervilseam/decisions';
import type { BenchRow } from './bench-row.js';

const KEY_COUNT = 60;
const REQUESTS_PER_KEY = 4;
const configToml = `
[[service]]
name = "order-desk"
[[policy]]
name = "orders-run-once"
services = { equal = {} }
nonIdempotent = true
`;

/**
 * Sends each order several times, to random instances, while answers are lost, the log fails, services
 * refuse requests and an instance is killed; then counts how often each order took effect.
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
  /** Stated outcome of each request, by reference of the order; `lost` where none arrived. */
  const outcomesByReference = new Map<string, string[]>();
  const order = async (reference: string): Promise<void> => {
    const instance = random.pick([...deployment.daemons.keys()]) ?? 'instance-1';
    const headers = { 'idempotency-key': reference };
    const path = '/services/order-desk/orders';
    const answer = await deployment
      .call(path, { instance, body: { reference }, headers })
      .catch(() => undefined);
    await answer?.text().catch(() => '');
    const outcome = answer?.headers.get('chervilseam-outcome') ?? 'lost';
    outcomesByReference.set(reference, [...(outcomesByReference.get(reference) ?? []), outcome]);
  };
  const pending: Promise<void>[] = [];
  for (let count = 0; count < KEY_COUNT * REQUESTS_PER_KEY; count += 1) {
    // The faults are repeated every 40 requests.
    const step = count % 40;
    if (step === 5) desks.forEach((desk) => Object.assign(desk, { lostAnswerCount: 1 }));
    if (step === 10) deployment.log.faults.isDown = true;
    if (step === 18) deployment.log.faults.isDown = false;
    if (step === 22) deployment.log.faults.lostAnswerCount = 2;
    if (step === 26) deployment.log.faults.doubledAppendCount = 2;
    if (step === 30) desks.forEach((desk) => Object.assign(desk, { refusalCount: 2 }));
    if (count === 120) deployment.killDaemon('instance-4');
    pending.push(order(`order-${random.below(KEY_COUNT)}`));
    // eslint-disable-next-line no-await-in-loop -- requests are sent at a constant rate
    await Deployment.sleep(8);
  }
  await Promise.all(pending);
  const effectsOf = (reference: string): number =>
    desks.reduce((sum, { effects }) => sum + (effects.get(reference) ?? 0), 0);
  const references = [...outcomesByReference.keys()];
  const duplicated = references.filter((reference) => effectsOf(reference) > 1).length;
  // Orders that took effect although each of their answers stated that it did not run.
  const refusedButRan = references.filter((reference) => {
    const outcomes = outcomesByReference.get(reference) ?? [];
    return effectsOf(reference) > 0 && outcomes.every((outcome) => outcome === 'not-run');
  }).length;
  const ranOnce = references.filter((reference) => effectsOf(reference) === 1).length;
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
    row('keysThatRanTwice', duplicated, '<= 0'),
    row('untrueRefusals', refusedButRan, '<= 0'),
    row('keysThatRan', ranOnce),
    row('keys', references.length),
  ];
}
