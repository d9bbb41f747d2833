import { expect } from 'chai';
import { QuietTime } from '@chervilseam/decisions';

// An engine that is full asks for quiet, and requests that reach it all the same keep it full.
describe('QuietTime', () => {
  let quiet: QuietTime;

  beforeEach(() => {
    quiet = new QuietTime();
  });

  it('ends by itself', () => {
    quiet.begin(500, 1_000);
    expect(quiet.leftMs(1_200)).to.equal(300);
    expect(quiet.leftMs(1_500)).to.equal(0);
  });

  it('lasts until the last of several ends', () => {
    quiet.begin(2_000, 1_000);
    quiet.begin(100, 1_500);
    expect(quiet.leftMs(1_500)).to.equal(1_500);
    quiet.begin(3_000, 1_500);
    expect(quiet.leftMs(1_500)).to.equal(3_000);
  });

  [0, -5, NaN, -Infinity].forEach((durationMs) => {
    it(`does not begin for ${durationMs} ms`, () => {
      quiet.begin(durationMs, 1_000);
      expect(quiet.leftMs(1_000)).to.equal(0);
    });
  });

  [1e300, Infinity].forEach((durationMs) => {
    it(`is bounded for ${durationMs} ms`, () => {
      quiet.begin(durationMs, 1_000);
      expect(quiet.leftMs(1_000)).to.equal(30_000);
    });
  });
});
