import { turnTimesMs } from '@chervilseam/decisions';
import { expect } from 'chai';

// Callers were told the time of the next load, whatever their place in the line, and came back in vain.
describe('turnTimesMs', () => {
  it('lets a model wait for the loads in progress, and for those before it', () => {
    const loadsMs = [5_000, 5_000, 5_000];
    const times = turnTimesMs({ loadsMs, remainingMs: [1_000, 4_000], countMax: 2 });
    expect(times).to.deep.equal([6_700, 9_700, 12_400]);
  });

  it('begins as many at once as there may be', () => {
    const times = turnTimesMs({ loadsMs: [5_000, 1_000, 2_000], remainingMs: [], countMax: 2 });
    expect(times).to.deep.equal([5_700, 1_700, 4_400]);
  });

  it('takes more loads in progress than there may be for the longest of them', () => {
    const times = turnTimesMs({ loadsMs: [5_000], remainingMs: [1_000, 3_000], countMax: 1 });
    expect(times).to.deep.equal([8_700]);
  });
});
