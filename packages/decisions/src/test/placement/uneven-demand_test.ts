import { expect } from 'chai';
import {
  LoadConcurrency,
  loadDelayMs,
  lossWeight,
  orderDelayMs,
  planPlacement,
  relativeWeights,
  UnloadTime,
} from '@chervilseam/decisions';
import type { PlacementInput } from '@chervilseam/decisions';

type Engine = PlacementInput['engines'][number];

/** Longest time from a decision to the order of its load that callers bear, in milliseconds. */
const ORDER_DELAY_MAX_MS = 1_500;

const engine = (name: string, models: readonly string[], more: Partial<Engine> = {}): Engine => ({
  name,
  capacityBytes: 100,
  tokensPerSecond: 1_000,
  models,
  ready: models,
  otherBytes: 0,
  ...more,
});

const model = (name: string, demand = 0, hasWaitingRequests = false) => ({
  name,
  bytes: 45,
  mustStayResident: false,
  demand,
  hasWaitingRequests,
});

// Demand moves to other models every few seconds. The replicas that can be given up are those of a model that is
// still in use, and an unload waits for its runs: the new model's callers were refused meanwhile.
describe('choosing what to unload while replicas are busy', () => {
  const busyMs = new Map([['busy', 3_000]]);

  it('takes the engine whose replica has no runs to finish', () => {
    const { moves } = planPlacement({
      models: [model('busy', 100), model('new', 500, true)],
      engines: [
        engine('e1', ['busy'], { unloadMsByModel: busyMs, otherBytes: 30 }),
        engine('e2', ['busy'], { otherBytes: 30 }),
        engine('e3', ['busy'], { unloadMsByModel: busyMs, otherBytes: 30 }),
      ],
      moveBudget: 1,
    });
    expect(moves.map(({ load }) => load)).to.deep.equal(['new']);
    expect(moves[0].engine).to.equal('e2');
    expect(orderDelayMs(moves[0].unload.length, moves[0].unloadMs)).to.be.below(ORDER_DELAY_MAX_MS);
  });

  it('unloads an idle last replica rather than wait for the runs on another one', () => {
    const { moves } = planPlacement({
      models: [model('busy', 100), model('idle'), model('new', 500, true)],
      engines: [
        engine('e1', ['busy', 'idle'], { unloadMsByModel: busyMs }),
        engine('e2', ['busy'], { unloadMsByModel: busyMs, otherBytes: 30 }),
      ],
      moveBudget: 1,
      lastReplicaShare: 0.3,
      idleReplicaShare: 0.1,
      lossShareMax: 0.35,
    });
    expect(moves.map(({ unload }) => unload)).to.deep.equal([['idle']]);
  });
});

describe('UnloadTime', () => {
  it('expects no wait for an idle replica, and nearly the longest run for a busy one', () => {
    const time = new UnloadTime();
    for (let run = 0; run < 200; run += 1) time.record(run % 2 === 0 ? 100 : 2_000);
    expect(time.estimateMs(0)).to.equal(0);
    expect(time.estimateMs(1)).to.be.within(500, 1_500);
    expect(time.estimateMs(8)).to.be.within(1_500, 2_000);
  });
});

// Loads that were decided on waited for unloads and then began together; the store slowed down, each took over
// twice its time, and more were begun, since only those begun within the time of one load were counted.
describe('loads side by side', () => {
  const load = {
    storeLoadsPerSecond: 2,
    windowMs: 5_000,
    slackRatio: 1.1,
    loadMs: 1_200,
    isLowPriority: false,
    agesMs: [],
    remainingMs: [],
  };

  it('begins as many loads as the store sustains at a time', () => {
    expect(loadDelayMs({ ...load, remainingMs: [1_000] })).to.equal(0);
    expect(loadDelayMs({ ...load, remainingMs: [1_000, 800] })).to.be.within(1, 800);
  });

  it('counts a load that has not begun yet, and one that takes longer than expected', () => {
    expect(loadDelayMs({ ...load, remainingMs: [3_000, 400] })).to.be.greaterThan(0);
    expect(loadDelayMs({ ...load, remainingMs: [3_000, 2_500] })).to.be.within(1_200, 2_500);
  });

  it('stays within the limit over the window, and says when it allows the next load', () => {
    const limit = load.storeLoadsPerSecond * 5 * load.slackRatio + 3;
    const agesMs = Array.from({ length: Math.floor(limit) }, (_, index) => 400 * index);
    const delayMs = loadDelayMs({ ...load, agesMs });
    expect(delayMs).to.be.within(1, load.windowMs);
    const later = agesMs.map((ageMs) => ageMs + delayMs).filter((ageMs) => ageMs < load.windowMs);
    expect(later.length + 1).to.be.at.most(limit);
    expect(loadDelayMs({ ...load, agesMs: later })).to.equal(0);
  });

  it('keeps a part of the window for models with more demand than their engines serve', () => {
    const agesMs = Array.from({ length: 7 }, (_, index) => 500 * index);
    expect(loadDelayMs({ ...load, agesMs })).to.equal(0);
    expect(loadDelayMs({ ...load, agesMs, isLowPriority: true })).to.be.greaterThan(0);
  });
});

// A weight store that sustains fewer loads at a time than its rate suggests: with five at a time, each took more
// than twice as long, and the callers of all five models left.
describe('LoadConcurrency', () => {
  it('reduces the number of loads at a time while loads are late, and tries more later', () => {
    const concurrency = new LoadConcurrency();
    expect(concurrency.observe(5, false, 0)).to.equal(false);
    expect(concurrency.observe(5, true, 2_000)).to.equal(true);
    expect(concurrency.countMax).to.equal(4);
    concurrency.observe(3, true, 4_000);
    expect(concurrency.countMax).to.equal(2);
    concurrency.observe(1, true, 6_000);
    expect(concurrency.countMax).to.equal(2);
    concurrency.observe(2, false, 20_000);
    expect(concurrency.countMax).to.equal(3);
  });

  it('takes one burst of late loads for one sign', () => {
    const concurrency = new LoadConcurrency();
    for (let nowMs = 0; nowMs < 300; nowMs += 50) concurrency.observe(5, true, nowMs);
    expect(concurrency.countMax).to.equal(4);
  });
});

// Two models lack engines, and one has room: the same number of tokens of an urgent model is worth more to its
// callers than that of a model for work that may come later.
describe('demand by what callers lose', () => {
  const models = [
    { ...model('patient', 900), lossWeight: lossWeight(2) },
    { ...model('urgent', 800), lossWeight: lossWeight(0) },
  ];
  const weights = relativeWeights(
    models.map(({ name, demand, lossWeight: weight }) => ({ name, demand, weight })),
  );

  it('serves the model first whose callers lose most', () => {
    const { moves } = planPlacement({
      models: models.map((one) => ({ ...one, lossWeight: weights.get(one.name) })),
      engines: [engine('e1', [])],
      moveBudget: 1,
    });
    expect(moves.map(({ load }) => load)).to.deep.equal(['urgent']);
  });

  it('leaves the sum of the demand as it is', () => {
    const weighted = models.reduce(
      (sum, { name, demand }) => sum + demand * (weights.get(name) ?? 0),
      0,
    );
    expect(weighted).to.be.closeTo(1_700, 1);
  });
});

// A failure domain is cut off for some seconds: its callers lack the models that only the others hold.
describe('spreading a busy model over failure domains', () => {
  it('loads a further replica in a failure domain that holds none', () => {
    const { moves } = planPlacement({
      models: [model('busy', 1_500)],
      engines: [
        engine('e1', ['busy'], { failureDomain: 'a' }),
        engine('e2', [], { failureDomain: 'a' }),
        engine('e3', [], { failureDomain: 'b' }),
      ],
      moveBudget: 1,
    });
    expect(moves.map(({ engine: name }) => name)).to.deep.equal(['e3']);
  });

  it('unloads a surplus replica where another one remains in the failure domain', () => {
    const { moves } = planPlacement({
      models: [model('busy', 100), model('new', 500, true)],
      engines: [
        engine('e1', ['busy'], { failureDomain: 'a', otherBytes: 30 }),
        engine('e2', ['busy'], { failureDomain: 'b', otherBytes: 30 }),
        engine('e3', ['busy'], { failureDomain: 'b', otherBytes: 30 }),
      ],
      moveBudget: 1,
    });
    expect(moves[0].engine).to.be.oneOf(['e2', 'e3']);
  });
});

// Loads for which nobody had asked filled the places of models that were then asked for.
describe('models that nobody has asked for', () => {
  it('yield before an idle model that was there from the start', () => {
    const { moves } = planPlacement({
      models: [
        model('kept'),
        { ...model('guessed'), isSpeculative: true },
        model('new', 500, true),
      ],
      engines: [engine('e1', ['kept', 'guessed'])],
      moveBudget: 1,
      lastReplicaShare: 0.3,
      idleReplicaShare: 0.1,
      lossShareMax: 0.35,
    });
    expect(moves.map(({ unload }) => unload)).to.deep.equal([['guessed']]);
  });
});

// Callers of many rare models ask for each of them once in a while and are late if they wait for its load; meanwhile
// one model has far more callers than its engine serves.
describe('rare models whose callers are late after a load', () => {
  const late = { ...model('late', 50), isLatencyTolerant: true, isLateAfterLoad: true };
  const shares = { lastReplicaShare: 0.3, idleReplicaShare: 0.1, lossShareMax: 0.35 };

  it('yield to a model with more callers than its engine serves', () => {
    const { moves } = planPlacement({
      models: [{ ...late, hasWaitingRequests: true }, model('busy', 2_500)],
      engines: [engine('e1', ['busy'], { otherBytes: 50 }), engine('e2', ['late', 'busy2'])],
      moveBudget: 1,
      gainShareMin: 0.12,
      ...shares,
    });
    expect(moves.map(({ load }) => load)).to.deep.equal(['busy']);
  });

  it('are kept before models without demand', () => {
    const { moves } = planPlacement({
      models: [late, model('idle'), model('new', 500, true)],
      engines: [engine('e1', ['late', 'idle'])],
      moveBudget: 1,
      ...shares,
    });
    expect(moves.map(({ unload }) => unload)).to.deep.equal([['idle']]);
  });

  it('are loaded after models whose callers can’t wait at all', () => {
    const { moves } = planPlacement({
      models: [
        { ...late, name: 'wanted', demand: 900, hasWaitingRequests: true },
        model('urgent', 300, true),
      ],
      engines: [engine('e1', [], { otherBytes: 50 })],
      moveBudget: 1,
      ...shares,
    });
    expect(moves.map(({ load }) => load)).to.deep.equal(['urgent']);
  });
});
