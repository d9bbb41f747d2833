import { ReturnTimes } from '@chervilseam/decisions';
import { expect } from 'chai';

// The demand for a model faded within seconds while its refused callers waited to return as they were told, and
// nothing was loaded for them.
describe('ReturnTimes', () => {
  it('names a model until its last caller should have returned', () => {
    const returns = new ReturnTimes();
    returns.record('m', { returnMs: 10_000, deadlineMs: 12_000 });
    returns.record('m', { returnMs: 4_000, deadlineMs: 12_000 });
    expect(returns.models(9_900)).to.deep.equal(['m']);
    expect(returns.expire(9_900)).to.deep.equal([]);
    expect(returns.models(12_000)).to.deep.equal([]);
  });

  it('names each model once when its callers are overdue', () => {
    const returns = new ReturnTimes();
    returns.record('m', { returnMs: 1_000, deadlineMs: 12_000 });
    returns.record('later', { returnMs: 9_000, deadlineMs: 12_000 });
    expect(returns.expire(3_000)).to.deep.equal(['m']);
    expect(returns.expire(3_000)).to.deep.equal([]);
    expect(returns.models(3_000)).to.deep.equal(['later']);
  });

  it('tells whose callers return soon, without those who can’t by their deadlines', () => {
    const returns = new ReturnTimes();
    returns.record('soon', { returnMs: 5_000, deadlineMs: 12_000 });
    returns.record('later', { returnMs: 9_000, deadlineMs: 12_000 });
    returns.record('never', { returnMs: 5_000, deadlineMs: 4_000 });
    expect(returns.due(0, () => 6_000)).to.deep.equal(['soon']);
    expect(returns.due(4_000, () => 6_000)).to.deep.equal(['soon', 'later']);
    expect(returns.due(8_000, () => 6_000)).to.deep.equal(['later']);
    expect(returns.models(0)).to.include('never');
  });
});
