import { expect } from 'chai';
import { EndpointBackoff } from '@chervilseam/decisions';

// An engine that is full asks to retry later, and requests that reach it all the same keep it full.
describe('EndpointBackoff', () => {
  let backoff: EndpointBackoff;

  beforeEach(() => {
    backoff = new EndpointBackoff();
  });

  it('ends by itself', () => {
    backoff.begin(500, 1_000);
    expect(backoff.leftMs(1_200)).to.equal(300);
    expect(backoff.leftMs(1_500)).to.equal(0);
  });

  it('lasts until the last of several ends', () => {
    backoff.begin(2_000, 1_000);
    backoff.begin(100, 1_500);
    expect(backoff.leftMs(1_500)).to.equal(1_500);
    backoff.begin(3_000, 1_500);
    expect(backoff.leftMs(1_500)).to.equal(3_000);
  });

  [0, -5, NaN, -Infinity].forEach((durationMs) => {
    it(`does not begin for ${durationMs} ms`, () => {
      backoff.begin(durationMs, 1_000);
      expect(backoff.leftMs(1_000)).to.equal(0);
    });
  });

  [1e300, Infinity].forEach((durationMs) => {
    it(`is bounded for ${durationMs} ms`, () => {
      backoff.begin(durationMs, 1_000);
      expect(backoff.leftMs(1_000)).to.equal(30_000);
    });
  });
});
