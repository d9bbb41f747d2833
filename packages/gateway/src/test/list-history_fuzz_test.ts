import { expect } from 'chai';
import { assert, array, constantFrom, integer, oneof, property, record } from 'fast-check';
import { EndpointRegistry } from '../lib/feed/endpoint-registry.js';
import { UpdateOutcome } from '../lib/feed/update-outcome.js';
import type { EndpointChange } from '../lib/ports/endpoint-change.js';
import { endpointRecordOf } from './endpoint-record-of.js';

const RUNS_IN_CI = 500;
const runs = Number(process.env.CHERVILSEAM_FUZZ_RUNS ?? RUNS_IN_CI);
const SUSPICION_MS = 1_000;
const NAMES = ['reader', 'other', 'third'] as const;
const IDS = ['a', 'b', 'c'] as const;

const name = constantFrom(...NAMES);
const step = oneof(
  record({
    kind: constantFrom('put' as const),
    id: constantFrom(...IDS),
    slotCount: integer({ min: 1, max: 2 }),
  }),
  record({ kind: constantFrom('remove' as const), id: constantFrom(...IDS) }),
  record({ kind: constantFrom('read' as const), by: name, isWhole: constantFrom(true, false) }),
  // Tells what has changed since an offset near the one that the receiver has.
  record({
    kind: constantFrom('tell' as const),
    by: name,
    to: name,
    backBy: integer({ min: -3, max: 6 }),
  }),
);

type Step = typeof step extends { generate: (...args: never[]) => { value: infer T } } ? T : never;

// Guards against instances that take the offset of another one over but not what belongs to it.
describe('The list of endpoints at an offset', () => {
  const stateAt = (log: readonly EndpointChange[], offset: number): Record<string, number> => {
    const state = new Map<string, number>();
    log.slice(0, offset).forEach(({ id, record: entry }) => {
      if (entry) state.set(id, entry.slotCount);
      else state.delete(id);
    });
    return Object.fromEntries([...state].sort());
  };

  const play = (steps: readonly Step[]): void => {
    const log: EndpointChange[] = [];
    const registries = new Map(NAMES.map((by) => [by, new EndpointRegistry(SUSPICION_MS)]));
    const registryOf = (by: (typeof NAMES)[number]): EndpointRegistry =>
      registries.get(by) as EndpointRegistry;
    const read = (by: (typeof NAMES)[number], isWhole: boolean): void => {
      const registry = registryOf(by);
      const { offset } = registry;
      const nextOffset = log.length;
      const whole = Object.entries(stateAt(log, nextOffset)).map(([id, slotCount]) => ({
        id,
        record: { ...endpointRecordOf(id), slotCount },
      }));
      const hasWhole = isWhole || offset === undefined;
      const changes = hasWhole ? whole : log.slice(offset);
      registry.apply({ isWhole: hasWhole, changes, nextOffset }, 0, false);
    };
    const tell = (by: (typeof NAMES)[number], to: (typeof NAMES)[number], backBy: number): void => {
      const receiver = registryOf(to);
      const update = registryOf(by).since((receiver.offset ?? 0) - backBy);
      if (update && receiver.outcomeOf(update) === UpdateOutcome.applied) {
        receiver.apply(update, 0, false);
      }
    };
    steps.forEach((next) => {
      if (next.kind === 'put') {
        const { id, slotCount } = next;
        log.push({ id, record: { ...endpointRecordOf(id), slotCount } });
      }
      if (next.kind === 'remove') log.push({ id: next.id });
      if (next.kind === 'read') read(next.by, next.isWhole);
      if (next.kind === 'tell') tell(next.by, next.to, next.backBy);
      registries.forEach((registry) => {
        if (registry.offset === undefined) return;
        const known = registry.all.map(({ id, record: entry }) => [id, entry.slotCount] as const);
        expect(Object.fromEntries(known.sort())).to.deep.equal(stateAt(log, registry.offset));
      });
    });
    registries.forEach((registry) => registry.close());
  };

  it('is the same at every instance, whoever told it and since when', () => {
    assert(
      property(array(step, { maxLength: 60, size: 'max' }), (steps) => play(steps)),
      { numRuns: runs, seed: 41 },
    );
  });
});
