import { expect } from 'chai';
import fc from 'fast-check';
import { fuzzRuns } from '../fuzz-runs.js';
import { DomainWorld } from './domain-world.js';

const INSTANCE_COUNT = 2;

const instance = fc.nat({ max: INSTANCE_COUNT - 1 });
const endpoint = fc.constantFrom('e0', 'e0', 'e0', 'e0', 'e0', 'e1');
/** Whether an instance reads the log before and after it acts; a suspended one does not. */
const isAwake = fc.constantFrom(true, true, true, false);
const item = fc.constantFrom('model/a@1', 'model/b@1', 'model/c@1');
const action = fc.constantFrom(
  'load' as const,
  'load' as const,
  'unload' as const,
  'fence' as const,
);
/** Number of reports by which an observed report is older than the engine's latest one. */
const age = fc.constantFrom(0, 0, 0, 1, 3);
/** Index of the order in flight that is delivered next, modulo their number. */
const copy = fc.nat({ max: 5 });

const steps = fc.oneof(
  { weight: 6, arbitrary: fc.record({ do: fc.constant('catchUp' as const), instance }) },
  {
    weight: 2,
    arbitrary: fc.record({ do: fc.constant('claim' as const), isAwake, instance, endpoint }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('reserve' as const),
      isAwake,
      instance,
      endpoint,
      action,
      item,
    }),
  },
  { weight: 5, arbitrary: fc.record({ do: fc.constant('send' as const), isAwake, instance }) },
  {
    weight: 1,
    arbitrary: fc.record({ do: fc.constant('withdraw' as const), isAwake, instance }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ do: fc.constant('expire' as const), isAwake, instance, endpoint }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      do: fc.constant('deliver' as const),
      endpoint,
      copy,
      again: fc.boolean(),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      do: fc.constant('observe' as const),
      isAwake,
      instance,
      endpoint,
      age,
    }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('kill' as const), instance }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('restart' as const), endpoint }) },
);

type Step = typeof steps extends fc.Arbitrary<infer T> ? T : never;

function performStep(world: DomainWorld, step: Step): void {
  if (step.do === 'catchUp') world.catchUp(step.instance);
  if (step.do === 'claim') world.claim(step.instance, step.endpoint);
  if (step.do === 'reserve') {
    world.reserve(step.instance, step.endpoint, step.action, step.item);
  }
  if (step.do === 'send') world.send(step.instance);
  if (step.do === 'withdraw') world.withdraw(step.instance);
  if (step.do === 'expire') world.expire(step.instance, step.endpoint);
  if (step.do === 'deliver') world.settle(step.endpoint, step.copy, step.again);
  if (step.do === 'observe') world.observe(step.instance, step.endpoint, step.age);
  if (step.do === 'kill') world.kill(step.instance);
  if (step.do === 'restart') world.engines.get(step.endpoint)?.restart();
}

function runStep(world: DomainWorld, step: Step): void {
  if ('isAwake' in step && step.isAwake) world.catchUp(step.instance);
  performStep(world, step);
  if ('isAwake' in step && step.isAwake) world.catchUp(step.instance);
}

const check = (checksFencing: boolean, seed: number): void => {
  fc.assert(
    // With the default size, sequences have at most ten steps, too few to overcommit memory.
    fc.property(fc.array(steps, { maxLength: 120, size: 'max' }), (sequence) => {
      const world = new DomainWorld(INSTANCE_COUNT, checksFencing);
      // Starts with an owner that has a report of its engine: otherwise most steps have no effect.
      world.claim(0, 'e0');
      world.catchUp(0);
      world.observe(0, 'e0', 0);
      sequence.forEach((step) => runStep(world, step));
      world.check();
      expect(world.violations).to.deep.equal([]);
    }),
    { numRuns: fuzzRuns, seed },
  );
};

describe('DomainLedger under faults', () => {
  it('never overcommits the memory of engines that refuse outdated fencing tokens', () =>
    check(true, 11));

  it('never overcommits the memory of engines that ignore fencing tokens', () => check(false, 12));
});
