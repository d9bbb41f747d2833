import { expect } from 'chai';
import fc from 'fast-check';
import { fuzzRuns } from '../fuzz-runs.js';
import { DomainWorld } from './domain-world.js';

const INSTANCE_COUNT = 2;

const instance = fc.nat({ max: INSTANCE_COUNT - 1 });
const endpoint = fc.constantFrom('e0', 'e0', 'e0', 'e0', 'e0', 'e1');
/** Whether an instance reads the log before and after it acts, as one that is not paused does. */
const isAwake = fc.constantFrom(true, true, true, false);
const item = fc.constantFrom('model/a@1', 'model/b@1', 'model/c@1');
const action = fc.constantFrom(
  'load' as const,
  'load' as const,
  'unload' as const,
  'fence' as const,
);
const age = fc.constantFrom(0, 0, 0, 1, 3);
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
  { weight: 1, arbitrary: fc.record({ do: fc.constant('withdraw' as const), isAwake, instance }) },
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
    arbitrary: fc.record({ do: fc.constant('observe' as const), isAwake, instance, endpoint, age }),
  },
  { weight: 1, arbitrary: fc.record({ do: fc.constant('kill' as const), instance }) },
  { weight: 2, arbitrary: fc.record({ do: fc.constant('restart' as const), endpoint }) },
);

type Step = typeof steps extends fc.Arbitrary<infer T> ? T : never;

function act(world: DomainWorld, step: Step): void {
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

function run(world: DomainWorld, step: Step): void {
  if ('isAwake' in step && step.isAwake) world.catchUp(step.instance);
  act(world, step);
  if ('isAwake' in step && step.isAwake) world.catchUp(step.instance);
}

const check = (checksFencing: boolean, seed: number): void => {
  fc.assert(
    // The default size would keep the sequences at ten steps, too few to get anywhere.
    fc.property(fc.array(steps, { maxLength: 120, size: 'max' }), (sequence) => {
      const world = new DomainWorld(INSTANCE_COUNT, checksFencing);
      // A start that gets somewhere: one owner that knows its engine.
      world.claim(0, 'e0');
      world.catchUp(0);
      world.observe(0, 'e0', 0);
      sequence.forEach((step) => run(world, step));
      world.check();
      expect(world.violations).to.deep.equal([]);
    }),
    { numRuns: fuzzRuns, seed },
  );
};

describe('accelerator memory under faults', () => {
  it('is never overcommitted at engines that refuse old fencing numbers', () => check(true, 11));

  it('is never overcommitted at engines that ignore fencing numbers', () => check(false, 12));
});
