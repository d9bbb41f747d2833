import { SimulatedQuotas, quotaOf } from './quota/simulated-quotas.js';

const bound = { windowMs: 8_000, overRatio: 0.1, slackCount: 17_000 };

describe('Quotas over all instances', () => {
  [3, 61, 420].forEach((count) => {
    it(`trial ${count}`, async () => {
      const start = performance.now();
      const quotas = new Map(
        Array.from({ length: 16 }, (_, i) => [
          `w${i}`,
          quotaOf(Math.max(4200, 230_000 / (i + 1) ** 1.2)),
        ]),
      );
      const fleet = new SimulatedQuotas(count, 4, quotas, bound);
      const loads = [...quotas].map(([workspace, q], i) => ({
        workspace,
        perSecond: (nowMs: number) =>
          q.ratePerSecond * (i === 0 && nowMs > 14_000 ? 3 : i === 1 ? 1 : i === 2 ? 1 : 0.55),
        isBehind: ({ failureDomain }: { failureDomain: string }) =>
          i !== 2 || failureDomain === 'd-1',
      }));
      await fleet.time.runUntil(4_000);
      fleet.send(loads, 24_000);
      const before = { ...fleet.traffic };
      await fleet.time.runUntil(24_000);
      for (const [w, q] of quotas) {
        console.log(
          w,
          Math.round(q.ratePerSecond),
          fleet.peakShare(w, q).toFixed(3),
          fleet.servedShares(w, 6_000, 24_000),
        );
      }
      console.log(
        fleet.kinds,
        count,
        'B/s',
        (fleet.traffic.bytes - before.bytes) / count / 20,
        'msg/s',
        (fleet.traffic.messages - before.messages) / count / 20,
        'wait',
        fleet.waitMs,
        'took',
        performance.now() - start,
      );
    });
  });
});
