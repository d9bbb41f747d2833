import { ReplicaWaits } from '@chervilseam/decisions';
import { expect } from 'chai';

const requested = new Set(['m']);
const none = new Set<string>();

// Models that had waited for ten seconds stood behind those that were asked for now.
describe('ReplicaWaits', () => {
  it('measures a wait from the first request on', () => {
    const waits = new ReplicaWaits();
    waits.observe({ requested, ready: none }, 1_000);
    waits.observe({ requested, ready: none }, 5_000);
    expect(waits.waitedMs('m', 8_000)).to.equal(7_000);
    expect(waits.waitedMs('other', 8_000)).to.equal(0);
  });

  it('ends a wait when the model can serve or nobody asks for it any more', () => {
    const waits = new ReplicaWaits();
    waits.observe({ requested, ready: none }, 0);
    const served = waits.observe({ requested, ready: new Set(['m']) }, 2_000);
    expect(served).to.deep.equal([{ model: 'm', waitedMs: 2_000, isReady: true }]);
    waits.observe({ requested, ready: none }, 3_000);
    const givenUp = waits.observe({ requested: none, ready: none }, 4_000);
    expect(givenUp).to.deep.equal([{ model: 'm', waitedMs: 1_000, isReady: false }]);
    expect(waits.waitedMs('m', 9_000)).to.equal(0);
  });

  it('measures for how long a model has had a replica', () => {
    const waits = new ReplicaWaits();
    const ready = new Set(['m']);
    waits.observe({ requested: none, ready }, 1_000);
    waits.observe({ requested: none, ready }, 2_000);
    expect(waits.readyMs('m', 4_000)).to.equal(3_000);
    waits.observe({ requested: none, ready: none }, 5_000);
    waits.observe({ requested: none, ready }, 6_000);
    expect(waits.readyMs('m', 6_500)).to.equal(500);
    expect(waits.readyMs('other', 6_500)).to.equal(0);
  });

  it('measures no wait of a model that can serve', () => {
    const waits = new ReplicaWaits();
    waits.observe({ requested, ready: requested }, 0);
    expect(waits.waitedMs('m', 5_000)).to.equal(0);
  });
});
