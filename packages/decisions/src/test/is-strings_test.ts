import { expect } from 'chai';
import { isStrings } from '@chervilseam/decisions';

// Lists come from other instances; a value of another shape threw in the handler of their state.
describe('isStrings', () => {
  it('accepts lists of strings', () => {
    expect(isStrings([])).to.equal(true);
    expect(isStrings(['i-1@1'])).to.equal(true);
  });

  [undefined, null, 7, 'i-1@1', {}, [1], ['i-1@1', null]].forEach((value) => {
    it(`refuses ${JSON.stringify(value)}`, () => expect(isStrings(value)).to.equal(false));
  });
});
