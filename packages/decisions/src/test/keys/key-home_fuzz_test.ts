import { expect } from 'chai';
import fc from 'fast-check';
import { fuzzRuns } from '../fuzz-runs.js';
import { KeyWorld } from './key-world.js';

const KEYS = ['k1', 'k2'];
const HOME_COUNT = 3;

const home = fc.nat({ max: HOME_COUNT - 1 });
const logFate = fc.oneof(
  { weight: 8, arbitrary: fc.constant('ok' as const) },
  {
    weight: 4,
    arbitrary: fc.constantFrom(
      'answerLost' as const,
      'dropped' as const,
      'delayed' as const,
      'doubled' as const,
    ),
  },
);
const runFate = fc.constantFrom(
  'ran' as const,
  'lost' as const,
  'refused' as const,
  'suspendedThenRan' as const,
);
const operation = fc.oneof(
  { weight: 3, arbitrary: fc.tuple(fc.constant('claim' as const), home, fc.constantFrom(...KEYS)) },
  { weight: 8, arbitrary: fc.tuple(fc.constant('step' as const), home, logFate) },
  { weight: 3, arbitrary: fc.tuple(fc.constant('run' as const), runFate) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('kill' as const), home) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('abandonClaim' as const), home) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('deliver' as const)) },
  { weight: 1, arbitrary: fc.tuple(fc.constant('expire' as const), fc.nat({ max: 4 })) },
);

describe('idempotency keys with faults of the log and of homes', () => {
  it('run at most one attempt per key, and none that was reported as not run', () => {
    fc.assert(
      fc.property(fc.array(operation, { maxLength: 80, size: 'max' }), (operations) => {
        const world = new KeyWorld(HOME_COUNT);
        operations.forEach((step) => {
          if (step[0] === 'claim') world.claim(step[1], step[2]);
          if (step[0] === 'step') world.step(step[1], step[2]);
          if (step[0] === 'run') world.run(step[1]);
          if (step[0] === 'kill') world.kill(step[1]);
          if (step[0] === 'abandonClaim') world.abandonClaim(step[1]);
          if (step[0] === 'deliver') world.log.deliver();
          if (step[0] === 'expire') world.log.expireBefore(world.log.nextOffset - step[1]);
        });
        world.settle();
        expect(world.violations).to.deep.equal([]);
      }),
      { numRuns: fuzzRuns, seed: 20_261_204 },
    );
  });

  it('free a key after its attempt was refused, whichever calls to the log failed before', () => {
    fc.assert(
      fc.property(fc.array(logFate, { maxLength: 12, size: 'max' }), (fates) => {
        const world = new KeyWorld(1);
        world.claim(0, 'k1');
        fates.forEach((fate) => world.step(0, fate));
        world.settle();
        world.run('refused');
        world.settle();
        world.claim(0, 'k1');
        world.settle();
        expect(world.verdicts.at(-1)).to.equal('granted');
      }),
      { numRuns: fuzzRuns, seed: 7 },
    );
  });
});
