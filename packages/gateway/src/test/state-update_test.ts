import { expect } from 'chai';
import { StateReceiver } from '../lib/peer/state-receiver.js';
import { StateSender } from '../lib/peer/state-sender.js';
import type { StateUpdate } from '../lib/peer/state-update.js';

interface Sample {
  readonly sequence: number;
  readonly loads: Readonly<Record<string, { readonly count: number }>>;
  readonly models: readonly string[];
}

const sample = (more: Partial<Sample>): Sample => ({
  sequence: 1,
  loads: { one: { count: 1 }, two: { count: 2 } },
  models: ['a', 'b'],
  ...more,
});

// Instances that sent each other whole states several times a second spent most of the bytes between
// failure domains on parts that had not changed.
describe('State updates between instances', () => {
  let sender: StateSender<Sample>;
  let receiver: StateReceiver<Sample>;

  beforeEach(() => {
    sender = new StateSender();
    receiver = new StateReceiver();
  });

  const send = (value: Sample): StateUpdate<Sample> => {
    const update = sender.next(value, receiver.version);
    expect(receiver.apply(update)).to.deep.equal(value);
    return update;
  };

  it('are whole at first and then hold only what changed', () => {
    expect(send(sample({})).value).to.deep.equal(sample({}));
    const update = send(sample({ sequence: 2, loads: { one: { count: 1 }, three: { count: 3 } } }));
    expect(update).to.deep.equal({
      version: 2,
      base: 1,
      patch: { sequence: 2, loads: { two: null, three: { count: 3 } } },
    });
  });

  it('hold nothing when nothing changed, and share the unchanged parts', () => {
    send(sample({}));
    expect(send(sample({}))).to.deep.equal({ version: 2, base: 1 });
    const before = receiver.apply(sender.next(sample({ sequence: 3 }), receiver.version));
    const after = receiver.apply(sender.next(sample({ sequence: 4 }), receiver.version));
    expect(after?.loads).to.equal(before?.loads);
  });

  it('replace lists that differ', () => {
    send(sample({}));
    expect(send(sample({ models: ['b'] })).patch).to.deep.equal({ models: ['b'] });
    expect(send(sample({ models: [] })).patch).to.deep.equal({ models: [] });
  });

  it('are whole again when an update or its acknowledgement was lost', () => {
    send(sample({}));
    sender.next(sample({ sequence: 2 }), receiver.version);
    const update = sender.next(sample({ sequence: 3 }), receiver.version);
    expect(update.value).to.deep.equal(sample({ sequence: 3 }));
    expect(receiver.apply(update)).to.deep.equal(sample({ sequence: 3 }));
  });

  it('are rejected by a receiver that lacks their base, until a whole one arrives', () => {
    send(sample({}));
    const update = sender.next(sample({ sequence: 2 }), 1);
    const restarted = new StateReceiver<Sample>();
    expect(restarted.apply(update)).to.equal(undefined);
    expect(restarted.version).to.equal(undefined);
    expect(restarted.apply(sender.next(sample({}), undefined))).to.deep.equal(sample({}));
  });
});
