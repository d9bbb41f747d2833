import { expect } from 'chai';
import { OwnershipLease } from '@chervilseam/decisions';
import { eraNumber } from '@chervilseam/model';

const TTL_MS = 2_000;
const HANDOVER_MS = 3_000;
const WAIT_MS = TTL_MS + HANDOVER_MS;

describe('OwnershipLease', () => {
  let lease: OwnershipLease;

  const renew = (generation: number, sentMs: number, nowMs = sentMs, shares = [1]): void =>
    lease.applyRenewal({ generation, shares }, sentMs, nowMs);

  const renewRegularly = (generation: number, fromMs: number, untilMs: number): void => {
    for (let atMs = fromMs; atMs <= untilMs; atMs += 500) renew(generation, atMs);
  };

  beforeEach(() => {
    lease = new OwnershipLease({ ttlMs: TTL_MS, handoverMs: HANDOVER_MS });
  });

  it('makes a share usable only when its previous owner must have stopped', () => {
    renewRegularly(1, 0, WAIT_MS - 500);
    expect(lease.tokenOf(1, WAIT_MS - 1)).to.equal(undefined);
    expect(lease.tokenOf(1, WAIT_MS)).to.equal(1);
  });

  it('lapses before the store can assign the share to another member', () => {
    renewRegularly(1, 0, 10_000);
    expect(lease.tokenOf(1, 11_000)).to.equal(1);
    expect(lease.tokenOf(1, 12_000)).to.equal(undefined);
  });

  it('starts the time to live when the renewal is sent, not when it is answered', () => {
    renewRegularly(1, 0, 10_000);
    renew(1, 10_500, 12_000);
    expect(lease.tokenOf(1, 12_200)).to.equal(undefined);
  });

  it('is usable again at once when no other instance can have owned the share meanwhile', () => {
    renewRegularly(1, 0, 10_000);
    renew(1, 20_000);
    expect(lease.tokenOf(1, 20_001)).to.equal(1);
  });

  it('waits again, with a higher token, when the group changed while the lease was lapsed', () => {
    renewRegularly(1, 0, 10_000);
    renewRegularly(3, 20_000, 20_000 + WAIT_MS);
    expect(lease.tokenOf(1, 20_000 + WAIT_MS - 1)).to.equal(undefined);
    expect(lease.tokenOf(1, 20_000 + WAIT_MS)).to.equal(3);
  });

  it('is unusable after the process was suspended until it is renewed', () => {
    renewRegularly(1, 0, 10_000);
    lease.suspend();
    expect(lease.tokenOf(1, 10_001)).to.equal(undefined);
    renew(1, 10_100);
    expect(lease.tokenOf(1, 10_101)).to.equal(1);
  });

  it('makes a released share usable once the handover time since the last order has passed', () => {
    renew(4, 0);
    expect(lease.pendingShares(1)).to.deep.equal([{ share: 1, token: 4, usableFromMs: WAIT_MS }]);
    lease.markReleased(1, 4, -2_500);
    expect(lease.tokenOf(1, 499)).to.equal(undefined);
    expect(lease.tokenOf(1, 500)).to.equal(4);
  });

  it('ignores a release for another fencing token', () => {
    renew(4, 0);
    lease.markReleased(1, 3, -9_000);
    expect(lease.tokenOf(1, 100)).to.equal(undefined);
  });

  it('drops a share that the store no longer assigns to this instance', () => {
    renewRegularly(1, 0, 10_000);
    renew(2, 10_100, 10_100, [5]);
    expect(lease.tokenOf(1, 10_101)).to.equal(undefined);
  });

  it('is extended while no instance can renew, but not once it has lapsed', () => {
    renewRegularly(1, 0, 10_000);
    lease.extend(11_700, 11_500);
    lease.extend(13_000, 11_690);
    expect(lease.tokenOf(1, 12_900)).to.equal(1);
    expect(lease.tokenOf(1, 13_000)).to.equal(undefined);
    lease.extend(15_000, 13_100);
    expect(lease.tokenOf(1, 13_200)).to.equal(undefined);
  });

  it('is extended for a limited time only', () => {
    renewRegularly(1, 0, 10_000);
    for (let atMs = 10_500; atMs < 60_000; atMs += 100) lease.extend(atMs + 300, atMs);
    expect(lease.tokenOf(1, 25_000)).to.equal(1);
    expect(lease.tokenOf(1, 40_000)).to.equal(undefined);
  });

  it('waits again after a renewal with a new generation, also when it was extended', () => {
    renewRegularly(1, 0, 10_000);
    for (let atMs = 10_500; atMs < 14_000; atMs += 100) lease.extend(atMs + 300, atMs);
    renew(2, 14_000);
    expect(lease.tokenOf(1, 14_001)).to.equal(undefined);
  });

  // A store that came back from a copy gave out generations again: two owners of a share had the same token, and the store
  // no longer knew which one had it last.
  it('starts anew in each era of the store, with a higher token, whatever the generation is', () => {
    renewRegularly(9, 0, 10_000);
    expect(lease.tokenOf(1, 10_001)).to.equal(9);
    let lastToken = 9;
    [1, 2].forEach((era) => {
      const startMs = era * 20_000;
      renewRegularly(eraNumber.of(era, 8), startMs, startMs + WAIT_MS);
      expect(lease.tokenOf(1, startMs + WAIT_MS - 1)).to.equal(undefined);
      const token = lease.tokenOf(1, startMs + WAIT_MS) ?? 0;
      expect(token).to.be.greaterThan(lastToken);
      expect(Number.isSafeInteger(token)).to.equal(true);
      lastToken = token;
    });
  });

  it('starts anew in a new era also while it is held or extended, and with the same generation', () => {
    renewRegularly(9, 0, 10_000);
    renew(eraNumber.of(1, 9), 10_500);
    expect(lease.tokenOf(1, 10_501)).to.equal(undefined);
    renewRegularly(eraNumber.of(1, 9), 11_000, 20_000);
    expect(lease.tokenOf(1, 20_001)).to.equal(eraNumber.of(1, 9));
    lease.extend(21_700, 21_500);
    renew(eraNumber.of(2, 9), 21_600);
    expect(lease.tokenOf(1, 21_601)).to.equal(undefined);
  });
});
