import { expect } from 'chai';
import { PriorityGate } from '../lib/priority-gate.js';

describe('PriorityGate', () => {
  it('admits the highest priority first, and the earlier of two equal priorities', async () => {
    const gate = new PriorityGate(1);
    const order: string[] = [];
    await gate.enter(0);
    const waiting = [
      ['low', 1],
      ['high', 9],
      ['later', 9],
    ].map(async ([name, priority]) => {
      await gate.enter(priority as number);
      order.push(name as string);
      gate.leave();
    });
    gate.leave();
    await Promise.all(waiting);
    expect(order).to.deep.equal(['high', 'later', 'low']);
    expect(gate.waitingCount).to.equal(0);
  });
});
