import { expect } from 'chai';
import { OwnershipLease } from '@chervilseam/decisions';

const TTL_MS = 2_000;
const HANDOVER_MS = 3_000;
const WAIT_MS = TTL_MS + HANDOVER_MS;

describe('OwnershipLease', () => {
  let lease: OwnershipLease;

  const renew = (generation: number, sentMs: number, nowMs = sentMs, shares = [1]): void =>
    lease.renewed({ generation, shares }, sentMs, nowMs);

  const keep = (generation: number, fromMs: number, untilMs: number): void => {
    for (let atMs = fromMs; atMs <= untilMs; atMs += 500) renew(generation, atMs);
  };

  beforeEach(() => {
    lease = new OwnershipLease({ ttlMs: TTL_MS, handoverMs: HANDOVER_MS });
  });

  it('waits until the owner before must have stopped', () => {
    keep(1, 0, WAIT_MS - 500);
    expect(lease.tokenOf(1, WAIT_MS - 1)).to.equal(undefined);
    expect(lease.tokenOf(1, WAIT_MS)).to.equal(1);
  });

  it('stops before the store can give the share away', () => {
    keep(1, 0, 10_000);
    expect(lease.tokenOf(1, 11_000)).to.equal(1);
    expect(lease.tokenOf(1, 12_000)).to.equal(undefined);
  });

  it('counts the time to live from the sending, not from the answer', () => {
    keep(1, 0, 10_000);
    renew(1, 10_500, 12_000);
    expect(lease.tokenOf(1, 12_200)).to.equal(undefined);
  });

  it('goes on at once when nobody can have owned the share meanwhile', () => {
    keep(1, 0, 10_000);
    renew(1, 20_000);
    expect(lease.tokenOf(1, 20_001)).to.equal(1);
  });

  it('waits again, with a higher token, when the group changed while the lease had lapsed', () => {
    keep(1, 0, 10_000);
    keep(3, 20_000, 20_000 + WAIT_MS);
    expect(lease.tokenOf(1, 20_000 + WAIT_MS - 1)).to.equal(undefined);
    expect(lease.tokenOf(1, 20_000 + WAIT_MS)).to.equal(3);
  });

  it('does nothing after a standstill until it has renewed', () => {
    keep(1, 0, 10_000);
    lease.suspend();
    expect(lease.tokenOf(1, 10_001)).to.equal(undefined);
    renew(1, 10_100);
    expect(lease.tokenOf(1, 10_101)).to.equal(1);
  });

  it('takes a share over as soon as the owner before may have acted for the last time', () => {
    renew(4, 0);
    expect(lease.waiting(1)).to.deep.equal([{ share: 1, token: 4 }]);
    lease.released(1, 4, -2_500);
    expect(lease.tokenOf(1, 499)).to.equal(undefined);
    expect(lease.tokenOf(1, 500)).to.equal(4);
  });

  it('takes no word that was checked against another token', () => {
    renew(4, 0);
    lease.released(1, 3, -9_000);
    expect(lease.tokenOf(1, 100)).to.equal(undefined);
  });

  it('lets go of a share that is no longer its own', () => {
    keep(1, 0, 10_000);
    renew(2, 10_100, 10_100, [5]);
    expect(lease.tokenOf(1, 10_101)).to.equal(undefined);
  });

  it('is kept up while no instance can renew, but never revived', () => {
    keep(1, 0, 10_000);
    lease.extend(11_700, 11_500);
    lease.extend(13_000, 11_690);
    expect(lease.tokenOf(1, 12_900)).to.equal(1);
    expect(lease.tokenOf(1, 13_000)).to.equal(undefined);
    lease.extend(15_000, 13_100);
    expect(lease.tokenOf(1, 13_200)).to.equal(undefined);
  });

  it('is not kept up without end', () => {
    keep(1, 0, 10_000);
    for (let atMs = 10_500; atMs < 60_000; atMs += 100) lease.extend(atMs + 300, atMs);
    expect(lease.tokenOf(1, 25_000)).to.equal(1);
    expect(lease.tokenOf(1, 40_000)).to.equal(undefined);
  });

  it('waits again after a renewal that brings a new generation, also when it was kept up', () => {
    keep(1, 0, 10_000);
    for (let atMs = 10_500; atMs < 14_000; atMs += 100) lease.extend(atMs + 300, atMs);
    renew(2, 14_000);
    expect(lease.tokenOf(1, 14_001)).to.equal(undefined);
  });
});
