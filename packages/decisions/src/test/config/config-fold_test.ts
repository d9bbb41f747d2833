import { expect } from 'chai';
import fc from 'fast-check';
import { ConfigFold } from '../../lib/config/config-fold.js';
import { fuzzRuns } from '../fuzz-runs.js';

interface Change {
  readonly kind: string;
  readonly name: string;
  readonly baseRevision: number;
  readonly body: Readonly<Record<string, unknown>> | null;
}

const model = (name: string, baseRevision: number, weightsBytes = 1): Change => ({
  kind: 'model',
  name,
  baseRevision,
  body: { name, weightsBytes },
});
const adapter = (name: string, base: string): Change => ({
  kind: 'adapter',
  name,
  baseRevision: 0,
  body: { name, model: base, weightsBytes: 1 },
});
const record = (id: string, ...changes: Change[]) => ({
  type: 'config',
  id,
  author: 'test',
  changes,
});

describe('ConfigFold', () => {
  it('accepts the first of two conflicting records and names its offset in the rejection', () => {
    const fold = new ConfigFold();
    expect(fold.apply(1, record('a', model('m', 0)))?.isAccepted).to.equal(true);
    expect(fold.apply(2, record('b', model('m', 1, 2)))?.isAccepted).to.equal(true);
    const loser = fold.apply(3, record('c', model('m', 1, 3)));
    expect(loser).to.include({ isAccepted: false, winnerOffset: 2 });
    expect(fold.objects.get('model/m')?.body.weightsBytes).to.equal(2);
  });

  it('applies all changes of a record or none', () => {
    const fold = new ConfigFold();
    const decision = fold.apply(1, record('a', model('m', 0), adapter('x', 'missing')));
    expect(decision?.isAccepted).to.equal(false);
    expect(fold.objects.size).to.equal(0);
  });

  it('rejects a duplicate record, also after the object it created was deleted', () => {
    const fold = new ConfigFold();
    const create = record('a', model('m', 0));
    fold.apply(1, create);
    fold.apply(2, record('b', { kind: 'model', name: 'm', baseRevision: 1, body: null }));
    expect(fold.apply(3, create)?.reason).to.equal('duplicate record id');
    expect(fold.objects.size).to.equal(0);
  });

  it('rejects a deletion that would break a reference, and an invalid body', () => {
    const fold = new ConfigFold();
    fold.apply(1, record('a', model('m', 0), adapter('x', 'm')));
    const broken = { kind: 'model', name: 'm', baseRevision: 1, body: null };
    expect(fold.apply(2, record('b', broken))?.reason).to.include('broken reference');
    const invalid = { kind: 'model', name: 'n', baseRevision: 0, body: { name: 'n' } };
    expect(fold.apply(3, record('c', invalid))?.reason).to.include('invalid body');
  });

  it('keeps objects of unknown kinds', () => {
    const fold = new ConfigFold();
    const later = { kind: 'quota', name: 'q', baseRevision: 0, body: { name: 'q', any: 1 } };
    expect(fold.apply(1, record('a', later))?.isAccepted).to.equal(true);
    const again = ConfigFold.fromSnapshot(fold.snapshot());
    expect(again?.objects.get('quota/q')?.body).to.deep.equal({ name: 'q', any: 1 });
  });

  it('rejects a snapshot that was altered', () => {
    const fold = new ConfigFold();
    fold.apply(1, record('a', model('m', 0)));
    const snapshot = { ...fold.snapshot(), offset: 7 };
    expect(ConfigFold.fromSnapshot(snapshot)).to.equal(undefined);
  });

  it('reaches the same state from the start and from any snapshot, for random records', () => {
    const change = fc
      .record({
        name: fc.constantFrom('a', 'b', 'c'),
        base: fc.nat({ max: 30 }),
        isDeleted: fc.boolean(),
        bytes: fc.integer({ min: -1, max: 5 }),
      })
      .map(({ name, base, isDeleted, bytes }) =>
        isDeleted
          ? { kind: 'model', name, baseRevision: base, body: null }
          : model(name, base, bytes),
      );
    const anyRecord = fc
      .tuple(fc.nat({ max: 40 }), fc.array(change, { minLength: 1, maxLength: 3 }))
      .map(([id, changes]) => record(`id-${id}`, ...changes));
    const records = fc.array(fc.oneof({ weight: 9, arbitrary: anyRecord }, fc.constant(null)), {
      maxLength: 40,
      size: 'max',
    });
    fc.assert(
      fc.property(records, fc.nat({ max: 40 }), (values, cut) => {
        const complete = new ConfigFold();
        let resumed = new ConfigFold();
        values.forEach((value, index) => {
          complete.apply(index + 1, value);
          resumed.apply(index + 1, value);
          if (index === cut) resumed = ConfigFold.fromSnapshot(resumed.snapshot()) as ConfigFold;
        });
        expect(resumed.snapshot()).to.deep.equal(complete.snapshot());
      }),
      { numRuns: fuzzRuns, seed: 5 },
    );
  });
});
