import { expect } from 'chai';
import fc from 'fast-check';
import { fuzzRuns } from '../fuzz-runs.js';
import { OrderWorld } from './order-world.js';
import type { Delivery } from './order-world.js';

const modelOf = (name: string) => ({
  name,
  sizeMb: 60,
  storeLoadMs: 5_000,
  diskLoadMs: 1_000,
  hostLoadMs: 400,
  adapterMb: 1,
});
const names = ['a', 'b', 'c'];
/** Time from an order to a report that shows it, in milliseconds. */
const REPORT_DELAY_MS = 260;
const LONG_WAIT_MS = 4_000;

// Room for two models, and for two adapters.
const spec = {
  slotCount: 8,
  kvTokenCount: 1_000,
  memoryMb: 130,
  adapterSlotCount: 2,
  storeLoadsPerSecond: 1,
  models: new Map(names.map((name) => [name, modelOf(name)])),
};

const model = fc.constantFrom('a', 'a', 'a', 'b', 'c');
const adapter = fc.constantFrom('x', 'y', 'z');
const delivery = fc.constantFrom<Delivery>(
  'answered',
  'answered',
  'answered',
  'answer lost',
  'late',
  'late',
  'lost',
);
const deliveries = fc.array(delivery, { minLength: 3, maxLength: 3 });
const action = fc.constantFrom('load' as const, 'load' as const, 'unload' as const);

const kind = <const K extends string>(name: K) => fc.constant(name);

const steps = fc.oneof(
  { weight: 4, arbitrary: fc.record({ do: kind('order'), action, model, deliveries }) },
  { weight: 8, arbitrary: fc.record({ do: kind('swapAdapter'), model, adapter, deliveries }) },
  { weight: 3, arbitrary: fc.record({ do: kind('repeat'), deliveries }) },
  { weight: 5, arbitrary: fc.record({ do: kind('request'), model, adapter }) },
  { weight: 3, arbitrary: fc.record({ do: kind('toggleUse'), model, adapter }) },
  { weight: 4, arbitrary: fc.record({ do: kind('deliverLate'), index: fc.nat({ max: 9 }) }) },
  {
    weight: 6,
    arbitrary: fc.record({ do: kind('report'), lagMs: fc.constantFrom(0, 120, 240) }),
  },
  { weight: 3, arbitrary: fc.record({ do: kind('finishLoad') }) },
  { weight: 1, arbitrary: fc.record({ do: kind('wait') }) },
  { weight: 1, arbitrary: fc.record({ do: kind('handOver') }) },
  { weight: 1, arbitrary: fc.record({ do: kind('configure'), kept: fc.subarray(names) }) },
);

type Step = typeof steps extends fc.Arbitrary<infer T> ? T : never;
type StepOf<K extends Step['do']> = Extract<Step, { do: K }>;

const handlers: { readonly [K in Step['do']]: (world: OrderWorld, step: StepOf<K>) => void } = {
  order: (world, step) => world.order({ action: step.action, model: step.model }, step.deliveries),
  swapAdapter: (world, step) => world.swapAdapter(step.model, step.adapter, step.deliveries),
  repeat: (world, step) => world.repeat(step.deliveries),
  request: (world, step) => world.request(step.model, step.adapter),
  toggleUse: (world, step) => world.toggleUse(step.model, step.adapter),
  deliverLate: (world, step) => world.deliverLate(step.index),
  report: (world, step) => {
    world.wait(REPORT_DELAY_MS);
    world.report(step.lagMs);
  },
  finishLoad: (world) => world.finishLoad(),
  wait: (world) => world.wait(LONG_WAIT_MS),
  handOver: (world) => world.handOver(),
  configure: (world, step) => world.configure(step.kept),
};

const perform = <K extends Step['do']>(world: OrderWorld, step: StepOf<K>): void =>
  (handlers[step.do] as (world: OrderWorld, step: StepOf<K>) => void)(world, step);

// An engine that is ordered to hold more than it has room for crashes. Orders are lost, answered too late,
// carried out seconds after they were given, repeated, and given by one owner after another, while
// configurations change which models are known.
describe('orders to an engine', () => {
  it('never exceed its memory or its adapter slots', () => {
    fc.assert(
      fc.property(fc.array(steps, { maxLength: 80, size: 'max' }), (sequence) => {
        const world = new OrderWorld(spec, ['a', 'b']);
        world.report(0);
        sequence.forEach((step) => perform(world, step));
        expect(world.violations).to.deep.equal([]);
      }),
      { numRuns: 20 * fuzzRuns, seed: 30 },
    );
  });
});
