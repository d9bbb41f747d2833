import type { QuotaLease } from './quota-lease.js';

/** What the division of a quota depends on, for one pool. */
interface PoolNeed {
  readonly demandPerSecond: number;
  readonly largest: number;
}

/** Factor on a pool's demand, so that it can rise before the division follows. */
const HEADROOM = 1.2;
/** Share of the rate and room without need that is divided evenly. */
const EVEN_SHARE = 0.5;

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

// Everyone gets what it needs, or the same fraction of it; the rest goes by need and evenly.
const divide = (total: number, needs: readonly number[]): number[] => {
  const sum = sumOf(needs);
  if (sum > total) return needs.map((need) => (total * need) / sum);
  const rest = total - sum;
  const even = sum === 0 ? rest : EVEN_SHARE * rest;
  return needs.map(
    (need) => need + even / needs.length + (sum === 0 ? 0 : ((rest - even) * need) / sum),
  );
};

/**
 * Divides a quota among pools: by demand, so that a pool whose callers ask for more gets more.
 *
 * @param total - rate and room to divide
 * @param pools - what the pools need
 * @returns the parts of the pools, in the same order
 */
export function divideQuota(total: QuotaLease, pools: readonly PoolNeed[]): QuotaLease[] {
  const rates = divide(
    total.ratePerSecond,
    pools.map(({ demandPerSecond }) => HEADROOM * demandPerSecond),
  );
  // Room for one request of each pool goes first, since it can't let any go with less.
  const least = divide(
    Math.min(total.room, HEADROOM * sumOf(pools.map(({ largest }) => largest))),
    pools.map(({ largest }) => HEADROOM * largest),
  );
  const restRoom = Math.max(0, total.room - sumOf(least));
  const rateSum = sumOf(rates);
  const byRate = rates.map((rate) =>
    rateSum === 0 ? restRoom / pools.length : (restRoom * rate) / rateSum,
  );
  return rates.map((ratePerSecond, index) => ({
    ratePerSecond,
    room: least[index] + byRate[index],
  }));
}
