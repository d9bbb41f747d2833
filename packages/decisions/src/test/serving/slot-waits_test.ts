import { SlotWaits } from '@chervilseam/decisions';
import { expect } from 'chai';

// An adapter whose callers had given up went on holding back all others of its engine for three seconds.
describe('SlotWaits', () => {
  it('names the item that has waited longest', () => {
    const waits = new SlotWaits();
    waits.ask('first', 0);
    waits.ask('second', 400);
    waits.ask('first', 800);
    expect(waits.longest(800)).to.deep.equal({ item: 'first', waitedMs: 800 });
    waits.end('first');
    expect(waits.longest(800)).to.deep.equal({ item: 'second', waitedMs: 400 });
  });

  it('forgets an item that nobody has asked for within a second', () => {
    const waits = new SlotWaits();
    waits.ask('abandoned', 0);
    waits.ask('wanted', 1_500);
    expect(waits.longest(1_500)?.item).to.equal('wanted');
  });

  it('keeps one that is asked for again after each failure', () => {
    const waits = new SlotWaits();
    [0, 750, 1_500, 2_250].forEach((nowMs) => waits.ask('wanted', nowMs));
    expect(waits.longest(2_250)).to.deep.equal({ item: 'wanted', waitedMs: 2_250 });
  });
});
