import { expect } from 'chai';
import { SimulatedQuotas } from './quota/simulated-quotas.js';
import { tokenQuotaOf } from './quota/token-quota-of.js';

const BOUND = { windowMs: 8_000, overRatio: 0.1, slackCount: 17_000 };
const DOMAIN_COUNT = 4;
/** Traffic begins some time after the instances, and is judged once the leases follow it. */
const TRAFFIC_MS = 4_000;
const STEADY_MS = 6_000;
const CALM_END_MS = 16_000;
const SERVED_MIN = 0.97;
const BYTES_PER_SECOND_MAX = 2_000;
/** Usual use of a quota. */
const USUAL = 0.55;

// A few large workspaces and many small ones.
const quotas = new Map(
  Array.from({ length: 16 }, (_, index) => [
    `workspace-${index}`,
    tokenQuotaOf(Math.max(4_200, 227_000 / (index + 1) ** 1.2)),
  ]),
);
const [large, second, third] = [...quotas.keys()];

type Load = Parameters<SimulatedQuotas['send']>[0][number];

const loadsOf = (more: Readonly<Record<string, Partial<Load>>>): Load[] =>
  [...quotas].map(([workspace, { ratePerSecond }]) => ({
    workspace,
    perSecond: () => USUAL * ratePerSecond,
    isBehind: () => true,
    ...more[workspace],
  }));

const rateOf = (workspace: string): number => quotas.get(workspace)?.ratePerSecond ?? 0;
// Only the loads of two workspaces, which keeps long runs short.
const fewLoads = (more: Readonly<Record<string, Partial<Load>>>): Load[] =>
  loadsOf(more).filter(({ workspace }) => workspace === large || workspace === third);
const isInFirstDomain: Load['isBehind'] = ({ failureDomain }) => failureDomain === 'd-0';

describe('Quotas over all instances', () => {
  const expectBound = (fleet: SimulatedQuotas): void =>
    quotas.forEach((quota, workspace) =>
      expect(fleet.peakShare(workspace, quota), workspace).to.be.at.most(1),
    );

  [3, 61, 420].forEach((count) => {
    // Calm at the whole of the quota, with callers everywhere and with all of them in one failure domain.
    it(`admit what is below them, at ${count} instances`, async () => {
      const fleet = new SimulatedQuotas(count, DOMAIN_COUNT, quotas, BOUND);
      const loads = loadsOf({
        [large]: { perSecond: () => rateOf(large) },
        [second]: { perSecond: () => rateOf(second), isBehind: isInFirstDomain },
      });
      await fleet.time.runUntil(TRAFFIC_MS);
      fleet.send(loads, CALM_END_MS);
      await fleet.time.runUntil(STEADY_MS);
      const before = { ...fleet.traffic };
      await fleet.time.runUntil(CALM_END_MS);
      const seconds = (CALM_END_MS - STEADY_MS) / 1_000;
      const bytesPerSecond = (fleet.traffic.bytes - before.bytes) / count / seconds;
      const messagesPerSecond = (fleet.traffic.messages - before.messages) / count / seconds;
      const shares = [...quotas.keys()].map((name) =>
        fleet.servedShares(name, STEADY_MS, CALM_END_MS),
      );
      const [everywhere, inOneDomain] = shares;
      const all = fleet.servedShareOfAll(STEADY_MS, CALM_END_MS);
      process.stdout.write(
        `${JSON.stringify({ count, everywhere, inOneDomain, all, bytesPerSecond, messagesPerSecond })}\n`,
      );
      expectBound(fleet);
      expect(everywhere.own).to.be.at.least(SERVED_MIN);
      expect(inOneDomain.own).to.be.at.least(SERVED_MIN);
      expect(all.own).to.be.at.least(SERVED_MIN);
      if (count > 3) expect(bytesPerSecond).to.be.at.most(BYTES_PER_SECOND_MAX);
    });

    // Callers of one workspace in one failure domain send 5.4 times their usual, three times the quota.
    it(`hold against a surge in one failure domain, at ${count} instances`, async () => {
      const fleet = new SimulatedQuotas(count, DOMAIN_COUNT, quotas, BOUND);
      const perSecond = (nowMs: number): number =>
        rateOf(large) * USUAL * (nowMs > 8_000 ? 5.4 : 1);
      await fleet.time.runUntil(TRAFFIC_MS);
      fleet.send(loadsOf({ [large]: { perSecond, isBehind: isInFirstDomain } }), 20_000);
      await fleet.time.runUntil(20_000);
      expectBound(fleet);
      expect(fleet.servedShares(large, 9_000, 20_000).own).to.be.at.least(SERVED_MIN);
      expect(fleet.servedShares(third, STEADY_MS, 20_000).own).to.be.at.least(SERVED_MIN);
    });

    // A failure domain is cut off for six seconds while one workspace asks for three times its quota on both sides, and its
    // instances have to live on what they hold. Then 60 % of all start again at once, then the rest.
    it(`hold through a partition and restarts, at ${count} instances`, async () => {
      const fleet = new SimulatedQuotas(count, DOMAIN_COUNT, quotas, BOUND);
      await fleet.time.runUntil(TRAFFIC_MS);
      fleet.send(fewLoads({ [large]: { perSecond: () => 3 * rateOf(large) } }), 34_000);
      await fleet.time.runUntil(10_000);
      const cutOff = fleet.instances.filter(({ peer }) => peer.failureDomain === 'd-1');
      SimulatedQuotas.setSide(cutOff, 1);
      await fleet.time.runUntil(16_000);
      expect(fleet.servedShares(third, 10_500, 16_000).own).to.be.at.least(0.9);
      SimulatedQuotas.setSide(cutOff, 0);
      await fleet.time.runUntil(20_000);
      const first = fleet.instances.filter((_, index) => index % 5 < 3);
      first.forEach((instance) => SimulatedQuotas.stop(instance));
      await fleet.time.runUntil(21_500);
      first.forEach((instance) => fleet.start(instance));
      await fleet.time.runUntil(27_000);
      const rest = fleet.instances.filter((instance) => !first.includes(instance));
      rest.forEach((instance) => fleet.start(instance));
      await fleet.time.runUntil(34_000);
      expectBound(fleet);
    });

    // All instances start again at once while callers go on: the first pool that asks must not keep what the others need.
    it(`admit again soon after a restart of all, at ${count} instances`, async () => {
      const fleet = new SimulatedQuotas(count, DOMAIN_COUNT, quotas, BOUND);
      await fleet.time.runUntil(TRAFFIC_MS);
      fleet.send(loadsOf({}), 16_000);
      await fleet.time.runUntil(8_000);
      fleet.instances.forEach((instance) => fleet.start(instance));
      await fleet.time.runUntil(16_000);
      expectBound(fleet);
      // There is no allocator of before to wait for; a second later all pools have their parts.
      expect(fleet.servedShareOfAll(9_500, 16_000).own).to.be.at.least(0.95);
    });

    // The instance that divides the quotas ends while a failure domain is cut off: the next one can't know what is held there.
    it(`hold when the allocator ends during a partition, at ${count} instances`, async () => {
      const fleet = new SimulatedQuotas(count, DOMAIN_COUNT, quotas, BOUND);
      await fleet.time.runUntil(TRAFFIC_MS);
      fleet.send(fewLoads({ [large]: { perSecond: () => 3 * rateOf(large) } }), 24_000);
      await fleet.time.runUntil(10_000);
      const cutOff = fleet.instances.filter(({ peer }) => peer.failureDomain === 'd-1');
      SimulatedQuotas.setSide(cutOff, 1);
      await fleet.time.runUntil(10_300);
      const [allocator] = fleet.instances;
      SimulatedQuotas.stop(allocator);
      await fleet.time.runUntil(12_000);
      fleet.start(allocator);
      await fleet.time.runUntil(17_000);
      SimulatedQuotas.setSide(cutOff, 0);
      await fleet.time.runUntil(24_000);
      expectBound(fleet);
    });

    // The quota falls to a tenth while instances of one failure domain are away. It binds one window after all have been
    // in touch for three seconds.
    it(`hold a quota that is lowered meanwhile, at ${count} instances`, async () => {
      const fleet = new SimulatedQuotas(count, DOMAIN_COUNT, quotas, BOUND);
      await fleet.time.runUntil(TRAFFIC_MS);
      fleet.send(fewLoads({ [large]: { perSecond: () => 2 * rateOf(large) } }), 34_000);
      await fleet.time.runUntil(8_000);
      const away = fleet.instances.filter(({ peer }) => peer.failureDomain === 'd-1');
      SimulatedQuotas.setSide(away, 1);
      const lowered = tokenQuotaOf(rateOf(large) / 10);
      const after = new Map(quotas).set(large, lowered);
      SimulatedQuotas.configure(
        fleet.instances.filter((instance) => !away.includes(instance)),
        after,
      );
      await fleet.time.runUntil(13_000);
      SimulatedQuotas.setSide(away, 0);
      await fleet.time.runUntil(15_500);
      SimulatedQuotas.configure(away, after);
      await fleet.time.runUntil(34_000);
      expectBound(fleet);
      expect(fleet.peakShare(large, lowered, 16_000)).to.be.at.most(1);
    });
  });
});
