import { expect } from 'chai';
import { endpointRecordOf } from './endpoint-record-of.js';
import type { FleetConditions } from './fleet/fleet-conditions.js';
import { SimulatedFleet } from './fleet/simulated-fleet.js';

const LEAVE_BOUND_MS = 3_000;
const SOUND: FleetConditions = {
  read: () => ({ callMs: 5, answerMs: 5 }),
  update: () => 5,
};

describe('The list of endpoints, as instances tell it each other', () => {
  const fleetOf = (
    conditions: Partial<FleetConditions>,
    ownerCount: number,
    followerCount = 0,
    leaveBoundMs = LEAVE_BOUND_MS,
  ): SimulatedFleet => {
    const fleet = new SimulatedFleet({
      ownerCount,
      followerCount,
      leaveBoundMs,
      conditions: { ...SOUND, ...conditions },
    });
    ['a', 'b', 'c'].forEach((id) => fleet.list.put(endpointRecordOf(id)));
    return fleet;
  };

  it('is the same at all of them without any failure', async () => {
    const fleet = fleetOf({}, 3, 6);
    await fleet.time.runUntil(2_000);
    fleet.list.remove('b');
    fleet.list.put({ ...endpointRecordOf('c'), isDraining: true });
    await fleet.time.runUntil(3_000);
    fleet.names.forEach((name) => expect(fleet.usedBy(name), name).to.deep.equal(['a']));
    fleet.close();
  });

  // One instance reads the list slowly. Another reads meanwhile and tells it of an endpoint that drains. The slow
  // instance then passed on what it read without that change, as it knew it already, but as if nothing were
  // missing. An instance that gets the other page late moved past the change, and sent requests to that endpoint
  // until it was gone.
  it('is not passed on without a change that only its sender has been told', async () => {
    const slowFromMs = 1_300;
    const fleet = fleetOf(
      {
        read: (instance, nowMs) =>
          instance === 'owner-0' && nowMs > slowFromMs && nowMs < slowFromMs + 200
            ? { callMs: 250, answerMs: 5 }
            : SOUND.read(instance, nowMs),
        update: (_, to, nowMs) =>
          to === 'follower-0' && nowMs > slowFromMs + 300 && nowMs < slowFromMs + 400 ? 600 : 5,
      },
      2,
      1,
    );
    await fleet.time.runUntil(slowFromMs);
    fleet.list.put({ ...endpointRecordOf('b'), isDraining: true });
    await fleet.time.runUntil(slowFromMs + 500);
    expect(fleet.usedBy('owner-0')).to.deep.equal(['a', 'c']);
    await fleet.time.runUntil(slowFromMs + LEAVE_BOUND_MS + 1_000);
    expect(fleet.late).to.deep.equal([]);
    expect(fleet.usedBy('follower-0')).to.deep.equal(['a', 'c']);
    fleet.close();
  });

  // A refused call was taken for an outage, in which entries of live endpoints lapse, so that an endpoint whose entry had
  // been removed still got requests for 1.6 s.
  it('is believed at once after the store has refused a call as one too many', async () => {
    const fleet = fleetOf(
      {
        read: (instance, nowMs) => ({
          ...SOUND.read(instance, nowMs),
          isRefused: nowMs > 600 && nowMs < 900,
        }),
      },
      1,
    );
    await fleet.time.runUntil(800);
    fleet.list.remove('b');
    await fleet.time.runUntil(1_500);
    expect(fleet.usedBy('owner-0')).to.deep.equal(['a', 'c']);
    fleet.close();
  });

  // An instance whose aggregator had begun with a later list, and whose own reads the store refused, was told nothing until it
  // could read; one that started then had no list at all.
  it('reaches an instance that the store refuses and that others cannot tell what it lacks', async () => {
    const fleet = fleetOf(
      {
        read: (instance, nowMs) => ({
          ...SOUND.read(instance, nowMs),
          isRefused: instance === 'follower-0' && nowMs > 100,
        }),
      },
      1,
      1,
    );
    await fleet.time.runUntil(800);
    fleet.list.expireHistory(true);
    fleet.list.remove('b');
    await fleet.time.runUntil(1_600);
    fleet.list.expireHistory(false);
    expect(fleet.usedBy('follower-0')).to.deep.equal(['a', 'c']);
    fleet.restart('follower-0');
    await fleet.time.runUntil(3_500);
    expect(fleet.usedBy('follower-0')).to.deep.equal(['a', 'c']);
    fleet.close();
  });

  // An instance that others keep informed after an outage seldom reads itself. Its next own read was taken for the end of that
  // outage, however long ago.
  it('is believed at once by an instance that others have informed since an outage', async () => {
    const fleet = fleetOf(
      {
        read: (instance, nowMs) => {
          const isFollower = instance === 'follower-0';
          return {
            ...SOUND.read(instance, nowMs),
            isLost: isFollower && nowMs < 3_000,
            isRefused: isFollower && nowMs < 10_600,
          };
        },
        update: (_, __, nowMs) =>
          (nowMs > 1_200 && nowMs < 1_800) || nowMs > 10_000 ? undefined : 5,
      },
      1,
      1,
    );
    ['d', 'e'].forEach((id) => fleet.list.put(endpointRecordOf(id)));
    await fleet.time.runUntil(10_000);
    fleet.list.remove('b');
    await fleet.time.runUntil(12_500);
    expect(fleet.usedBy('follower-0')).to.deep.equal(['a', 'c', 'd', 'e']);
    fleet.close();
  });

  // Entries of live endpoints lapse while these cannot renew them.
  it('is held in doubt after the store has not answered', async () => {
    const fleet = fleetOf(
      {
        read: (instance, nowMs) => ({
          ...SOUND.read(instance, nowMs),
          isLost: nowMs > 600 && nowMs < 900,
        }),
      },
      1,
    );
    await fleet.time.runUntil(800);
    fleet.list.remove('b');
    await fleet.time.runUntil(2_500);
    expect(fleet.usedBy('owner-0')).to.deep.equal(['a', 'b', 'c']);
    await fleet.time.runUntil(5_000);
    expect(fleet.usedBy('owner-0')).to.deep.equal(['a', 'c']);
    fleet.close();
  });

  // The reader takes six times as long and its updates are late, for ten seconds. Each of them put off the own read of the
  // instances that it told, as if it were as new as its arrival.
  it('is read by those who are told late, before it is too old', async () => {
    const leaveBoundMs = 2_000;
    const slowUntilMs = 12_000;
    const isSlow = (name: string, nowMs: number): boolean =>
      name === 'owner-0' && nowMs > 1_000 && nowMs < slowUntilMs;
    const fleet = fleetOf(
      {
        read: (instance, nowMs) =>
          isSlow(instance, nowMs) ? { callMs: 600, answerMs: 600 } : SOUND.read(instance, nowMs),
        update: (from, _, nowMs) => (isSlow(from, nowMs) ? 600 : 5),
      },
      1,
      3,
      leaveBoundMs,
    );
    const ids = Array.from({ length: 60 }, (_, index) => `engine-${index}`);
    ids.forEach((id) => fleet.list.put(endpointRecordOf(id)));
    ids.forEach((id, index) => {
      fleet.time.after(1_000 + 170 * index, () => fleet.list.remove(id));
    });
    await fleet.time.runUntil(slowUntilMs);
    const lateFollowers = fleet.late.filter((text) => text.startsWith('follower'));
    expect(lateFollowers).to.deep.equal([]);
    fleet.close();
  });

  // The store came back from a copy. Its offsets were given out again for other records, so that those below an instance's
  // offset were never read; engines that the copy lacked vanished, and those that had left came back.
  [
    [2, 4],
    [24, 396],
  ].forEach(([ownerCount, followerCount]) => {
    const title = `${ownerCount} owners and ${followerCount} followers`;
    it(`keeps what a copy of the store lacks until it can be written again, at ${title}`, async () => {
      const fleet = fleetOf({}, ownerCount, followerCount);
      const { list, time } = fleet;
      await time.runUntil(2_000);
      list.put(endpointRecordOf('late'));
      list.remove('b');
      await time.runUntil(4_000);
      expect(list.returnFromCopy(3_000)).to.deep.equal(['b']);
      list.put(endpointRecordOf('new'));
      Array.from({ length: 9 }).forEach(() => list.put(endpointRecordOf('a')));
      for (let atMs = 4_000; atMs <= 6_000; atMs += 250) {
        // eslint-disable-next-line no-await-in-loop
        await time.runUntil(atMs);
        const used = new Set(fleet.names.map((name) => fleet.usedBy(name).join()));
        const all = ['a,c,late', 'a,c,late,new'];
        expect(all).to.include.members([...used]);
        if (atMs >= 5_500) expect([...used]).to.deep.equal(all.slice(1));
      }
      list.put(endpointRecordOf('late'));
      await time.runUntil(7_000);
      list.remove('b');
      await time.runUntil(12_000);
      fleet.names.forEach((name) =>
        expect(fleet.usedBy(name)).to.deep.equal(['a', 'c', 'late', 'new']),
      );
      expect(fleet.late).to.deep.equal([]);
      fleet.close();
    }).timeout(60_000);
  });

  it('loses what a copy of the store lacks and nobody writes again', async () => {
    const fleet = fleetOf({}, 2, 4);
    await fleet.time.runUntil(2_000);
    fleet.list.put(endpointRecordOf('late'));
    await fleet.time.runUntil(4_000);
    fleet.list.returnFromCopy(3_000);
    await fleet.time.runUntil(8_000);
    fleet.names.forEach((name) => expect(fleet.usedBy(name)).to.deep.equal(['a', 'b', 'c']));
    fleet.close();
  });
});
