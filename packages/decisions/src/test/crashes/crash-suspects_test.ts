import { expect } from 'chai';
import fc from 'fast-check';
import { CrashSuspects } from '../../lib/crashes/crash-suspects.js';
import type { EngineEnd } from '../../lib/crashes/engine-end.js';
import type { SuspectRun } from '../../lib/crashes/suspect-run.js';
import { simulateFleet } from './simulated-fleet.js';
import type { FleetObserver } from './simulated-fleet.js';

const SEEDS = Array.from({ length: 40 }, (_, index) => index + 1);

/** Number of trials in the 80 s of a history. */
const TRIAL_COUNT = 3;

const run = (...parts: string[]): SuspectRun => ({ parts, isTest: false });
const test = (...parts: string[]): SuspectRun => ({ parts, isTest: true });

const observerOf = (suspects: CrashSuspects): FleetObserver => ({
  isWithheld: (parts, nowMs) => (suspects.withheld(parts, nowMs)?.trialInMs ?? 0) > 0,
  isSuspect: (parts) => suspects.isSuspect(parts),
  onEnd: (end, runs, nowMs) => suspects.record(end, runs, nowMs),
  onProven: (parts, nowMs) => {
    suspects.clear(parts, nowMs);
  },
});

// The policy that is weighed against: a part is withheld from its third end on. What is proven is taken out
// of the count, as the other policy does.
const countingObserver = (): FleetObserver => {
  const counts = new Map<string, number>();
  return {
    isWithheld: (parts) => parts.some((part) => (counts.get(part) ?? 0) >= 3),
    isSuspect: () => false,
    onEnd: (_, runs) => {
      new Set(runs.flatMap(({ parts }) => parts)).forEach((part) =>
        counts.set(part, (counts.get(part) ?? 0) + 1),
      );
    },
    onProven: (parts) => parts.forEach((part) => counts.delete(part)),
  };
};

describe('CrashSuspects', () => {
  // The parts beside the cause share its ends, and a rare one may not have been in any answer yet.
  it('withholds requests with the cause, and not those that share its other parts', () => {
    const suspects = new CrashSuspects();
    suspects.record('a@1', [run('caller', 'rare', 'bad', 'own-1'), run('caller', 'own-2')], 0);
    suspects.record('b@1', [test('caller', 'rare', 'bad', 'own-3')], 100);
    expect(suspects.withheld(['caller', 'rare', 'bad', 'own-4'], 200)).to.equal(undefined);
    suspects.record('c@1', [test('caller', 'rare', 'bad', 'own-4')], 200);
    expect(suspects.withheld(['caller', 'rare', 'bad', 'own-5'], 300)).to.include({ endCount: 3 });
    expect(suspects.withheld(['caller', 'own-6'], 300)).to.equal(undefined);
    expect(suspects.withheld(['caller', 'rare', 'own-7'], 300)).to.equal(undefined);
    suspects.clear(['caller', 'rare', 'own-7'], 400);
    expect(suspects.withheld(['other', 'bad', 'own-8'], 500)).to.include({ promptPart: 'bad' });
  });

  // Engines that crash together by themselves have popular parts in common; nothing was sent in between.
  it('withholds nothing when engines crash together while a popular part is everywhere', () => {
    const suspects = new CrashSuspects();
    ['a', 'b', 'c', 'd', 'e'].forEach((engine) =>
      suspects.record(`${engine}@1`, [run('popular', `own-${engine}`)], 0),
    );
    expect(suspects.isSuspect(['popular'])).to.equal(true);
    expect(suspects.withheld(['popular', 'own'], 10)).to.equal(undefined);
    suspects.clear(['popular', 'own'], 200);
    expect(suspects.isSuspect(['popular'])).to.equal(false);
  });

  it('withholds a cause that is the first part of its prompts', () => {
    const suspects = new CrashSuspects();
    ['a', 'b', 'c'].forEach((engine) => {
      suspects.record(`${engine}@1`, [test('bad', 'common', `own-${engine}`)], 0);
      suspects.clear(['caller', 'common', 'own'], 10);
    });
    expect(suspects.withheld(['bad', 'other', 'own'], 20)).to.include({ promptPart: 'bad' });
    expect(suspects.withheld(['caller', 'common', 'own'], 20)).to.equal(undefined);
  });

  // Both causes end engines beside a part that they share, which has more ends than either of them.
  it('withholds two causes and not the part that they share', () => {
    const suspects = new CrashSuspects();
    ['a', 'b', 'c', 'd', 'e', 'f'].forEach((engine, index) => {
      const cause = index % 2 === 0 ? 'bad-1' : 'bad-2';
      suspects.record(`${engine}@1`, [test('shared', cause, `own-${engine}`)], index);
    });
    ['bad-1', 'bad-2'].forEach((cause) =>
      expect(suspects.withheld(['shared', cause, 'own'], 10), cause).not.to.equal(undefined),
    );
    expect(suspects.withheld(['shared', 'own'], 10)).to.equal(undefined);
  });

  // The cause need not be in any part that is shared: a caller repeats one request again and again.
  it('withholds a request that ends engines when its caller repeats it, and only that', () => {
    const suspects = new CrashSuspects();
    ['a', 'b', 'c'].forEach((engine) =>
      suspects.record(`${engine}@1`, [test('caller', 'subject', 'own-1')], 0),
    );
    expect(suspects.withheld(['caller', 'subject', 'own-1'], 10)).to.include({ promptCount: 1 });
    expect(suspects.withheld(['caller', 'subject', 'own-2'], 10)).to.equal(undefined);
    ['a', 'b', 'c'].forEach((engine) => suspects.record(`${engine}@2`, [test('whole:x')], 0));
    expect(suspects.withheld(['whole:x'], 10)).to.include({ promptPart: 'whole:x' });
  });

  it('lets one request be tried after a while, and releases the part when its answer begins', () => {
    const suspects = new CrashSuspects();
    ['a', 'b', 'c'].forEach((engine) =>
      suspects.record(`${engine}@1`, [test('bad', `own-${engine}`)], 0),
    );
    expect(suspects.withheld(['bad', 'own'], 9_000)?.trialInMs).to.equal(1_000);
    expect(suspects.withheld(['bad', 'own'], 10_000)?.trialInMs).to.equal(0);
    suspects.record('d@1', [test('bad', 'own-d')], 10_000);
    expect(suspects.withheld(['bad', 'own'], 10_000)?.trialInMs).to.equal(20_000);
    suspects.clear(['bad', 'own-e'], 180_000);
    expect(suspects.withheld(['bad', 'own'], 180_000)).to.equal(undefined);
  });

  // A clearance must win over an end that another instance still reports as open.
  it('comes to the same result in whatever order instances receive each other’s ends', () => {
    const action = fc.record({
      instance: fc.nat(2),
      end: fc.constantFrom('a@1', 'b@1', 'c@1', 'd@1'),
      parts: fc.subarray(['p', 'q', 'r', 's'], { minLength: 1 }),
      isClear: fc.boolean(),
    });
    const actions = fc.array(action, { maxLength: 12 });
    const order = fc.shuffledSubarray([0, 1, 2, 3, 4, 5], { minLength: 6 });
    fc.assert(
      fc.property(actions, order, (steps, pairs) => {
        const instances = [0, 1, 2].map(() => new CrashSuspects());
        steps.forEach(({ instance, end, parts, isClear }, index) => {
          if (isClear) instances[instance].clear(parts, index * 2_000);
          else instances[instance].record(end, [test(...parts)], index * 2_000);
        });
        const nowMs = 30_000;
        const exchange = (pair: number): void => {
          const from = instances[pair % 3];
          const to = instances[(pair + 1 + Math.floor(pair / 3)) % 3];
          to.merge(structuredClone(from.published(nowMs)), nowMs);
        };
        [...pairs, ...pairs, ...pairs].forEach(exchange);
        const results = instances.map((suspects) =>
          JSON.stringify(
            ['p', 'q', 'r', 's'].map((part) => suspects.withheld([part], nowMs)?.endCount),
          ),
        );
        expect(new Set(results).size).to.equal(1);
      }),
    );
  });

  it('forgets an end although two instances report it to each other again and again', () => {
    const [left, right] = [new CrashSuspects(), new CrashSuspects()];
    left.record('a@1', [run('part', 'own')], 0);
    for (let nowMs = 0; nowMs < 2_600_000; nowMs += 5_000) {
      right.merge(structuredClone(left.published(nowMs)), nowMs);
      left.merge(structuredClone(right.published(nowMs + 50)), nowMs + 50);
      left.expire(nowMs + 50);
      right.expire(nowMs + 50);
    }
    expect([left.endCount, right.endCount]).to.deep.equal([0, 0]);
  });

  it('bounds what it keeps and publishes, and keeps ends with a part in common', () => {
    const suspects = new CrashSuspects();
    ['a', 'b', 'c', 'd', 'e'].forEach((engine) =>
      suspects.record(`${engine}@1`, [test('bad', `own-${engine}`)], 0),
    );
    for (let index = 0; index < 500; index += 1) {
      const runs = Array.from({ length: 50 }, (_, part) => run(`part-${index}-${part}`));
      suspects.record(`engine-${index}@1`, runs, index);
    }
    expect(suspects.endCount).to.equal(64);
    expect(JSON.stringify(suspects.published(1_000)).length).to.be.lessThan(200_000);
    expect(suspects.withheld(['bad', 'own'], 1_000)).to.include({ endCount: 5 });
  });

  describe('on generated histories', () => {
    const sound = { requestCount: 4_000, engineCount: 12, fatalParts: [], fatalShare: 0 };
    const tainted = { ...sound, fatalParts: ['bad'], fatalShare: 0.05 };

    it('withholds nothing when engines crash by themselves, where counting ends does', () => {
      let countedWithheld = 0;
      SEEDS.forEach((seed) => {
        const history = { ...sound, seed, crashShare: 0.001 };
        const { soundWithheldCount } = simulateFleet(history, observerOf(new CrashSuspects()));
        expect(soundWithheldCount, `seed ${seed}`).to.equal(0);
        countedWithheld += simulateFleet(history, countingObserver()).soundWithheldCount;
      });
      expect(countedWithheld).to.be.greaterThan(0);
    });

    // A third of the engines ends every two seconds: a sixth of all runs is caught in an end.
    it('withholds less than one request in a hundred when engines crash all the time', () => {
      const withheldCount = SEEDS.reduce((sum, seed) => {
        const history = { ...sound, seed, crashShare: 0.01 };
        return sum + simulateFleet(history, observerOf(new CrashSuspects())).soundWithheldCount;
      }, 0);
      expect(withheldCount / (SEEDS.length * sound.requestCount)).to.be.lessThan(0.01);
    });

    [
      { name: 'one cause', crashShare: 0, fatalParts: ['bad'] },
      { name: 'one cause where engines also crash', crashShare: 0.001, fatalParts: ['bad'] },
      { name: 'two causes', crashShare: 0, fatalParts: ['bad-1', 'bad-2'] },
    ].forEach(({ name, crashShare, fatalParts }) => {
      it(`finds ${name} within five ends and the trials later, and withholds no sound request`, () => {
        SEEDS.forEach((seed) => {
          const history = { ...tainted, seed, crashShare, fatalParts };
          const outcome = simulateFleet(history, observerOf(new CrashSuspects()));
          const endCountMax = (5 + TRIAL_COUNT) * fatalParts.length;
          expect(outcome.fatalEndCount, `seed ${seed}`).to.be.at.most(endCountMax);
          expect(outcome.fatalWithheldCount, `seed ${seed}`).to.be.greaterThan(100);
          expect(outcome.soundWithheldCount, `seed ${seed}`).to.equal(0);
        });
      });
    });
  });
});

// Ends of engines come from other instances; one that cannot be decoded threw in the handler of their state.
describe('CrashSuspects: ends without the shape of one', () => {
  const odd: Readonly<Record<string, unknown>> = {
    null: null,
    'a number': 7,
    'no runs': { ageS: 1, clearedParts: [] },
    'a run without parts': { ageS: 1, runs: { k: { isTest: false } }, clearedParts: [] },
    'parts that are numbers': {
      ageS: 1,
      runs: { k: { parts: [1], isTest: false } },
      clearedParts: [],
    },
    'a negative age': { ageS: -1, runs: {}, clearedParts: [] },
    'no cleared parts': { ageS: 1, runs: {} },
  };

  Object.entries(odd).forEach(([name, end]) => {
    it(`are ignored: ${name}`, () => {
      const suspects = new CrashSuspects();
      const sound = {
        ageS: 1,
        runs: { k: { parts: ['p'], isTest: false } },
        clearedParts: [],
      };
      const ends = { 'i-1@1': end, 'i-2@1': sound } as Readonly<Record<string, EngineEnd>>;
      expect(suspects.merge(ends, 0)).to.deep.equal(['i-2@1']);
    });
  });
});
