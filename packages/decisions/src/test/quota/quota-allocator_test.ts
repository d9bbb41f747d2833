import { expect } from 'chai';
import { QuotaAllocator } from '../../lib/quota/quota-allocator.js';
import type { QuotaLease } from '../../lib/quota/quota-lease.js';
import { quotaTimes } from '../../lib/quota/quota-times.js';

const TOTAL: QuotaLease = { ratePerSecond: 1_000, room: 2_000 };
const EMPTY: QuotaLease = { ratePerSecond: 0, room: 0 };
const NO_TIME = -Infinity;

describe('QuotaAllocator', () => {
  const holder = (instance: string, startedMs = 1): { instance: string; startedMs: number } => ({
    instance,
    startedMs,
  });
  const reportOf = (
    lease: QuotaLease,
    demandPerSecond: number,
  ): Parameters<QuotaAllocator['renew']>[1] => ({ ...lease, demandPerSecond, largest: 10 });

  // A failure domain is cut off and spends what it holds, while the others ask for everything.
  it('grants nothing that a silent pool may still hold', () => {
    const allocator = new QuotaAllocator(NO_TIME);
    const lease = allocator.renew(holder('a'), reportOf(EMPTY, 500), TOTAL, 0);
    expect(lease.ratePerSecond).to.equal(TOTAL.ratePerSecond);
    const endMs = quotaTimes.leaseMs + quotaTimes.driftMs;
    const others = [1, quotaTimes.silentMs + 1, endMs - 1].map((nowMs) =>
      allocator.renew(holder('b'), reportOf(EMPTY, 5_000), TOTAL, nowMs),
    );
    others.forEach(({ ratePerSecond }) => expect(ratePerSecond).to.equal(0));
    const late = allocator.renew(holder('b'), reportOf(EMPTY, 5_000), TOTAL, endMs);
    expect(late.ratePerSecond).to.equal(TOTAL.ratePerSecond);
    // The units that instances may still have of it.
    expect(late.room).to.equal(0);
  });

  // An answer is lost: the pool goes on with what it had.
  it('counts a pool at the most that it may hold', () => {
    const allocator = new QuotaAllocator(NO_TIME);
    const had = allocator.renew(holder('a'), reportOf(EMPTY, 500), TOTAL, 0);
    allocator.renew(holder('b'), reportOf(EMPTY, 500), TOTAL, 1);
    allocator.renew(holder('a'), reportOf(had, 500), TOTAL, 2);
    expect(allocator.renew(holder('b'), reportOf(EMPTY, 500), TOTAL, 3).ratePerSecond).to.equal(0);
    const half = allocator.renew(holder('a'), reportOf(had, 500), TOTAL, 4);
    allocator.renew(holder('a'), reportOf(half, 500), TOTAL, 5);
    const other = allocator.renew(holder('b'), reportOf(EMPTY, 500), TOTAL, 6);
    expect(other.ratePerSecond).to.be.greaterThan(0);
    expect(half.ratePerSecond + other.ratePerSecond).to.be.at.most(TOTAL.ratePerSecond);
  });

  // The allocator ends, and the next one starts with nothing but what pools report.
  it('divides only what is reported until the grants of its predecessor have ended', () => {
    const settledMs = 10_000;
    const allocator = new QuotaAllocator(settledMs);
    const known = { ratePerSecond: 300, room: 600 };
    const early = allocator.renew(holder('a'), reportOf(known, 5_000), TOTAL, 0);
    expect(early).to.deep.equal(known);
    expect(allocator.renew(holder('b'), reportOf(EMPTY, 0), TOTAL, 1).ratePerSecond).to.equal(0);
    const late = allocator.renew(holder('a'), reportOf(known, 5_000), TOTAL, settledMs);
    expect(late.ratePerSecond).to.equal(TOTAL.ratePerSecond);
  });

  // The process of a pool is killed and starts again with an empty pool.
  it('frees the rate of a process that has ended, and its units once they have expired', () => {
    const allocator = new QuotaAllocator(NO_TIME);
    allocator.renew(holder('a', 1), reportOf(EMPTY, 500), TOTAL, 0);
    const next = allocator.renew(holder('a', 2), reportOf(EMPTY, 500), TOTAL, 100);
    expect(next).to.deep.equal({ ratePerSecond: TOTAL.ratePerSecond, room: 0 });
    const atMs = 100 + quotaTimes.unitsMs + quotaTimes.driftMs;
    const { room } = allocator.renew(holder('a', 2), reportOf(next, 500), TOTAL, atMs);
    expect(room).to.equal(TOTAL.room);
  });

  // An owner of shares stops, and the answer to its farewell is lost.
  it('gives what a pool has given up to others once, however often it says so', () => {
    const allocator = new QuotaAllocator(10_000);
    const held = { ratePerSecond: 300, room: 600 };
    [0, 1].forEach((nowMs) => allocator.leave(holder('a'), reportOf(held, 0), nowMs));
    const next = allocator.renew(holder('b'), reportOf(EMPTY, 5_000), TOTAL, 2);
    expect(next).to.deep.equal({ ratePerSecond: held.ratePerSecond, room: 0 });
  });

  // A quota is lowered far below what its workspace sends.
  it('takes back what a lower quota does not allow', () => {
    const allocator = new QuotaAllocator(NO_TIME);
    const held = allocator.renew(holder('a'), reportOf(EMPTY, 500), TOTAL, 0);
    const lower = { ratePerSecond: 100, room: 200 };
    expect(allocator.renew(holder('a'), reportOf(held, 500), lower, 1)).to.deep.equal(lower);
  });
});
