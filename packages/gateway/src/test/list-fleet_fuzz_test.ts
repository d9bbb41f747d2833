import { expect } from 'chai';
import { FleetTrouble } from './fleet/fleet-trouble.js';
import { playFleet } from './fleet/play-fleet.js';

/** Runs of one fleet: its size, what troubles it, and the seeds that are played in CI. */
const CASES = [
  {
    owners: 3,
    followers: 3,
    leaveBoundMs: 2_000,
    troubles: [FleetTrouble.fewLost],
    seeds: [1, 2, 3],
  },
  {
    owners: 6,
    followers: 6,
    leaveBoundMs: 2_000,
    troubles: [FleetTrouble.fewLost],
    seeds: [1, 2, 3],
  },
  {
    owners: 8,
    followers: 24,
    leaveBoundMs: 3_000,
    troubles: [FleetTrouble.fewLost],
    seeds: [1, 2, 3],
  },
  {
    owners: 8,
    followers: 24,
    leaveBoundMs: 3_000,
    troubles: [FleetTrouble.manyLost],
    seeds: [1, 2, 3],
  },
  // Each trouble alone, then all of them.
  ...Object.values(FleetTrouble).map((trouble) => ({
    owners: 8,
    followers: 24,
    leaveBoundMs: 3_000,
    troubles: [trouble],
    seeds: [11, 12],
  })),
  {
    owners: 8,
    followers: 24,
    leaveBoundMs: 3_000,
    troubles: Object.values(FleetTrouble),
    seeds: [1, 2, 3, 4],
  },
];

// Guards against instances that go on sending to an endpoint that has left since a page of the list was lost, late or
// overtaken, while nothing is wrong at those instances themselves.
describe('The list of endpoints in a fleet in trouble', () => {
  CASES.forEach(({ owners, followers, leaveBoundMs, troubles, seeds }) => {
    seeds.forEach((seed) => {
      const size = `${owners} owners and ${followers} followers`;
      it(`is obeyed within ${leaveBoundMs} ms by ${size}, troubles ${troubles.join()}, seed ${seed}`, async () => {
        const { late, different } = await playFleet({
          owners,
          followers,
          leaveBoundMs,
          troubles,
          seed,
        });
        expect(late).to.deep.equal([]);
        expect(different).to.deep.equal([]);
      });
    });
  });
});
