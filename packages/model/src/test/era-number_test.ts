import { expect } from 'chai';
import { eraNumber } from '../index.js';

// Numbers that the store gives out come again in a later era, and must not be taken for those of the earlier one.
describe('eraNumber', () => {
  it('leaves numbers of era 0 as they are', () => {
    [0, 7, 2 ** 39].forEach((number) => {
      expect(eraNumber.of(0, number)).to.equal(number);
      expect(eraNumber.eraOf(number)).to.equal(0);
      expect(eraNumber.shown(number)).to.equal(number);
    });
    expect(eraNumber.shown(undefined)).to.equal(undefined);
  });

  it('orders numbers by their era first, and gives back both', () => {
    expect(eraNumber.of(1, 0)).to.be.greaterThan(eraNumber.of(0, 2 ** 39));
    const last = eraNumber.of(8_000, 2 ** 39);
    expect(Number.isSafeInteger(last)).to.equal(true);
    expect([eraNumber.eraOf(last), eraNumber.numberIn(last)]).to.deep.equal([8_000, 2 ** 39]);
    expect(eraNumber.shown(eraNumber.of(2, 5))).to.equal('2:5');
  });

  it('knows which eras it can order', () => {
    expect([0, 1, 8_000].every(eraNumber.isEra)).to.equal(true);
    expect([-1, 0.5, 1e9, NaN, Infinity].some(eraNumber.isEra)).to.equal(false);
  });
});
