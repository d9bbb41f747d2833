import { expect } from 'chai';
import { MemoryBudget } from '../../lib/limits/memory-budget.js';
import { stalledBodies } from '../../lib/limits/stalled-bodies.js';

const MB = 1024 * 1024;

// Clients began many bodies, stopped just short of their ends and stayed: what was held for them was kept for a minute, and
// no other request was read meanwhile.
describe('The memory of bodies that do not go on', () => {
  const bodyOf = (startedMs: number, lastByteMs: number, heldBytes: number) => ({
    startedMs,
    lastByteMs,
    heldBytes,
  });

  it('is freed of the largest first, and of none that goes on', () => {
    const bodies = new Map([
      ['small', bodyOf(0, 100, 4_096)],
      ['goes on', bodyOf(0, 1_900, 4 * MB)],
      ['large', bodyOf(0, 100, MB)],
      ['waits for memory', bodyOf(0, 100, 0)],
    ]);
    expect(stalledBodies(bodies, 2_000).map(([name]) => name)).to.deep.equal(['large', 'small']);
  });

  it('is freed of those that send a byte now and then for long', () => {
    const bodies = new Map([['drips', bodyOf(0, 5_900, MB)]]);
    expect(stalledBodies(bodies, 6_000)).to.have.length(1);
  });

  // An answer of a few hundred bytes was cut since bodies took the memory, which cutting it did not change.
  it('is not made up for by small answers', () => {
    const budget = new MemoryBudget<'body' | 'answer'>(8 * MB);
    budget.hold('body').resize(7.5 * MB);
    let evictedCount = 0;
    const answer = budget.hold('answer', () => {
      evictedCount += 1;
    });
    answer.resize(600);
    expect(evictedCount).to.equal(0);
    answer.resize(0.4 * MB);
    expect(evictedCount).to.equal(1);
  });
});
