import { expect } from 'chai';
import { QuotaBalance } from '../../lib/quota/quota-balance.js';
import { QuotaPool } from '../../lib/quota/quota-pool.js';
import { quotaTimes } from '../../lib/quota/quota-times.js';
import type { UnitsAsk } from '../../lib/quota/units-ask.js';

const LEASE = { ratePerSecond: 1_000, room: 2_000 };

const askOf = (waiting: number, more: Partial<UnitsAsk> = {}): UnitsAsk => ({
  asked: waiting,
  held: 0,
  waiting,
  needed: waiting,
  stock: 0,
  largest: waiting,
  ...more,
});

describe('QuotaPool', () => {
  // Many restarts must not bring many bursts.
  it('starts empty and says when there is room', () => {
    const pool = new QuotaPool();
    pool.renew(LEASE, 0, 0);
    expect(pool.give('a', askOf(500), 0)).to.deep.equal({ units: 0, waitMs: 500 });
    expect(pool.give('a', askOf(500), 500).units).to.equal(500);
  });

  it('adds nothing beyond its room or after the end of its lease', () => {
    const pool = new QuotaPool();
    pool.renew(LEASE, 0, 0);
    expect(pool.give('a', askOf(2_001), 5_000).units).to.equal(0);
    expect(pool.give('a', askOf(2_000), 5_000).units).to.equal(2_000);
    expect(pool.give('a', askOf(1), quotaTimes.leaseMs).units).to.equal(0);
  });

  // Units that instances hold and have not spent take up room, until they must have expired.
  it('counts what instances may hold', () => {
    const pool = new QuotaPool();
    pool.renew(LEASE, 0, 0);
    const { units } = pool.give('a', askOf(0, { stock: 300 }), 2_000);
    expect(units).to.equal(300);
    expect(pool.give('b', askOf(2_000), 2_300).units).to.equal(0);
    const expiredMs = 2_000 + quotaTimes.unitsMs + quotaTimes.driftMs;
    pool.report(expiredMs);
    expect(pool.give('b', askOf(2_000), expiredMs + 300).units).to.equal(2_000);
  });
});

describe('QuotaBalance', () => {
  it('spends units only while they are valid, and takes back those of refused requests', () => {
    const balance = new QuotaBalance();
    balance.receive({ units: 500, waitMs: 0 }, 0, 10);
    expect(balance.take(400, 20)).to.equal(true);
    expect(balance.take(400, 30)).to.equal(false);
    balance.giveBack(400, 40);
    expect(balance.take(400, 50)).to.equal(true);
    expect(balance.take(100, quotaTimes.unitsMs)).to.equal(false);
  });

  // Units that would expire unspent are missing elsewhere.
  it('fetches nothing ahead for a workspace that seldom sends', () => {
    const balance = new QuotaBalance();
    balance.count(400, 0);
    expect(balance.isLow(1_000, 0)).to.equal(false);
    Array.from({ length: 20 }, (_, index) => balance.count(400, 100 * index));
    expect(balance.isLow(1_000, 2_000)).to.equal(true);
  });
});
