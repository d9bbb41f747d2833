import { expect } from 'chai';
import { fitsEngineMemory } from '../../lib/serving/fits-engine-memory.js';

const SLOT_COUNT = 24;
const KV_TOKEN_COUNT = 96_000;

// An engine ends if the requests that it holds exceed its memory. Slots don't bound that: requests with long prompts take
// many times the memory of most, and each instance saw only how many there were.
describe('Requests with long prompts at one engine', () => {
  // Sends requests of a size to an engine until one has to wait.
  const sentCount = (tokenCount: number): number => {
    let count = 0;
    while (
      count < SLOT_COUNT &&
      fitsEngineMemory({
        heldCount: count,
        heldTokenCount: count * tokenCount,
        tokenCount,
        kvTokenCount: KV_TOKEN_COUNT,
      })
    ) {
      count += 1;
    }
    return count;
  };

  it('never exceed its memory together', () => {
    [5_000, 10_000, 50_000].forEach((tokenCount) => {
      expect(sentCount(tokenCount) * tokenCount).to.be.within(1, KV_TOKEN_COUNT);
    });
  });

  it('go there alone if they are larger than its memory, which refuses them', () => {
    expect(sentCount(2 * KV_TOKEN_COUNT)).to.equal(1);
  });

  it('leave all slots to requests of the size that the engine has memory for', () => {
    expect(sentCount(KV_TOKEN_COUNT / SLOT_COUNT)).to.equal(SLOT_COUNT);
  });
});
