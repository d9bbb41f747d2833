import { expect } from 'chai';
import { isPlanner, placementSteps, planPlacement } from '@chervilseam/decisions';
import type { PlacementInput } from '@chervilseam/decisions';

const ENGINE_COUNT = 78;
const MODEL_COUNT = 191;
const RESIDENT_COUNT = 3;

/**
 * A fleet with fewer places than models, most of them rarely asked for.
 *
 * @param onRanked - called each time that an engine is ranked for a load
 * @returns the input of a round
 */
const grownFleet = (onRanked: () => void): PlacementInput => ({
  models: Array.from({ length: MODEL_COUNT }, (_, index) => ({
    name: `m${index}`,
    bytes: 60,
    mustStayResident: false,
    hasWaitingRequests: index % 7 === 0,
    isLatencyTolerant: index % 5 === 0,
    demand: index < 60 ? Math.round(150_000 / (index + 1)) : 0,
  })),
  engines: Array.from({ length: ENGINE_COUNT }, (_, index) => {
    const models = Array.from(
      { length: RESIDENT_COUNT },
      (__, place) => `m${(index * RESIDENT_COUNT + place) % (MODEL_COUNT - 40)}`,
    );
    return {
      name: `e${index}`,
      capacityBytes: 195,
      tokensPerSecond: 34_000,
      models,
      ready: models,
      otherBytes: 0,
      loadMsByModel: {
        get: () => {
          onRanked();
          return 4_000;
        },
      },
    };
  }),
  moveBudget: 6,
});

// Planning for a grown fleet took one turn of the event loop of 0.3 to 0.7 s on a machine with a quarter of a
// core, in which the instance's callers waited and left.
describe('planning placement for a grown fleet', () => {
  it('ranks each engine at most once in a step', () => {
    let rankedCount = 0;
    let rankedMax = 0;
    const steps = placementSteps(
      grownFleet(() => {
        rankedCount += 1;
      }),
    );
    let stepCount = 0;
    for (let step = steps.next(); !step.done; step = steps.next()) {
      rankedMax = Math.max(rankedMax, rankedCount);
      rankedCount = 0;
      stepCount += 1;
    }
    expect(stepCount).to.be.greaterThan(6);
    expect(rankedMax).to.be.within(1, ENGINE_COUNT);
  });

  it('comes to the same plan in steps as at once', () => {
    const steps = placementSteps(grownFleet(() => undefined));
    let step = steps.next();
    while (!step.done) step = steps.next();
    expect(step.value).to.deep.equal(planPlacement(grownFleet(() => undefined)));
    expect(step.value.moves).to.have.lengthOf(6);
  });
});

describe('isPlanner', () => {
  const slow = { processorShare: 0.243, shares: [0, 5] };
  const fast = { processorShare: 1.35, shares: [3] };
  const alike = { processorShare: 1.35, shares: [7, 1] };

  it('leaves planning to the owner with the fastest processor', () => {
    expect(isPlanner(slow, [fast])).to.equal(false);
    expect(isPlanner(fast, [slow])).to.equal(true);
  });

  it('chooses the lowest share among equally fast owners', () => {
    expect(isPlanner(fast, [slow, alike])).to.equal(false);
    expect(isPlanner(alike, [slow, fast])).to.equal(true);
  });

  it('lets an owner plan that knows no other', () => {
    expect(isPlanner(slow, [])).to.equal(true);
  });
});
