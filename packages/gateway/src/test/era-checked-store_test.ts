import { eraNumber } from '@chervilseam/model';
import { PartLogger } from '@chervilseam/observe';
import { expect } from 'chai';
import { EraCheckedStore } from '../lib/feed/era-checked-store.js';
import type { StateStore } from '../lib/ports/state-store.js';

// An answer that was given before the store went away arrived after others of the new era, and would have taken back what
// these had brought.
describe('EraCheckedStore', () => {
  it('fails calls whose answers are of an earlier era, and reports each return from a copy once', async () => {
    const answers = [eraNumber.of(0, 7), eraNumber.of(1, 5), 9, eraNumber.of(1, 6)];
    const eras: number[] = [];
    const events: string[] = [];
    const store = new EraCheckedStore({
      store: {
        readConfig: () => Promise.resolve({ nextOffset: answers.shift() }),
      } as unknown as StateStore,
      logger: PartLogger.forInstance('self', 'info', {
        write: (line) => events.push(String(line)) > 0,
      })('store'),
      onEra: (era) => eras.push(era),
    });
    await store.readConfig(undefined, 0);
    await store.readConfig(undefined, 0);
    const error: unknown = await store.readConfig(undefined, 0).catch((reason: unknown) => reason);
    expect(String(error)).to.include('answer of era 0 of the store, which is in era 1');
    expect((await store.readConfig(undefined, 0)).nextOffset).to.equal(eraNumber.of(1, 6));
    expect(eras).to.deep.equal([0, 1]);
    expect(events).to.have.length(1);
  });
});
