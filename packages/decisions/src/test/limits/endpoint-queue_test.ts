import { expect } from 'chai';
import fc from 'fast-check';
import { EndpointQueue } from '../../lib/limits/endpoint-queue.js';
import type { QueueTicket } from '../../lib/limits/queue-ticket.js';
import { fuzzRuns } from '../fuzz-runs.js';

const ticket = (id: string, rest: Partial<QueueTicket> = {}): QueueTicket => ({
  id,
  caller: 'c',
  share: 1,
  priority: 50,
  startByMs: 10_000,
  ...rest,
});

const startedIds = (queue: EndpointQueue, nowMs: number): string[] =>
  queue.advance(nowMs).started.map(({ id }) => id);

describe('EndpointQueue', () => {
  it('reserves a slot for the highest priority seen recently', () => {
    const queue = new EndpointQueue(10);
    expect(queue.offer(ticket('counter', { priority: 90 }), 0)).to.equal('start');
    queue.remove('counter');
    const verdicts = Array.from({ length: 10 }, (_, index) => queue.offer(ticket(`t${index}`), 1));
    expect(verdicts.filter((verdict) => verdict === 'start')).to.have.length(9);
    expect(queue.offer(ticket('next', { priority: 90 }), 2)).to.equal('start');
  });

  it('ends the reservation when that priority is no longer seen', () => {
    const queue = new EndpointQueue(1);
    queue.offer(ticket('counter', { priority: 90 }), 0);
    queue.remove('counter');
    expect(queue.offer(ticket('later', { startByMs: 30_000 }), 20_000)).to.equal('start');
  });

  it('refuses a request on arrival that could not start in time', () => {
    const queue = new EndpointQueue(1);
    queue.serviceMs = 1_000;
    queue.offer(ticket('running'), 0);
    expect(queue.offer(ticket('late', { startByMs: 500 }), 0)).to.equal('late');
    expect(queue.waitingCount).to.equal(0);
  });

  it('prevents starvation: waiting raises a low priority', () => {
    const queue = new EndpointQueue(1);
    queue.offer(ticket('running', { startByMs: 1e9 }), 0);
    queue.offer(ticket('low', { priority: 10, startByMs: 1e9 }), 0);
    queue.offer(ticket('high', { priority: 50, startByMs: 1e9 }), 9_000);
    queue.remove('running');
    expect(startedIds(queue, 9_000)).to.deep.equal(['low']);
  });

  it('distributes slots fairly between callers of the same priority', () => {
    const queue = new EndpointQueue(2);
    queue.offer(ticket('a1', { caller: 'a' }), 0);
    queue.offer(ticket('a2', { caller: 'a' }), 0);
    queue.offer(ticket('a3', { caller: 'a' }), 0);
    queue.offer(ticket('b1', { caller: 'b' }), 1);
    queue.remove('a1');
    expect(startedIds(queue, 2)).to.deep.equal(['b1']);
  });

  it('never exceeds its limit nor starts a ticket twice, for random sequences of calls', () => {
    const step = fc.oneof(
      fc.record({
        do: fc.constant('offer' as const),
        priority: fc.constantFrom(10, 50, 90),
        waitMaxMs: fc.nat({ max: 3_000 }),
      }),
      fc.record({ do: fc.constant('remove' as const), at: fc.nat({ max: 50 }) }),
      fc.record({ do: fc.constant('advance' as const), gapMs: fc.nat({ max: 500 }) }),
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80, size: 'max' }), (steps) => {
        const queue = new EndpointQueue(4);
        queue.serviceMs = 200;
        const running = new Set<string>();
        const started = new Set<string>();
        let nowMs = 0;
        const start = (id: string): void => {
          expect(started.has(id)).to.equal(false);
          started.add(id);
          running.add(id);
        };
        steps.forEach((it, index) => {
          if (it.do === 'offer') {
            const { priority, waitMaxMs } = it;
            const offered = ticket(`t${index}`, { priority, startByMs: nowMs + waitMaxMs });
            if (queue.offer(offered, nowMs) === 'start') start(offered.id);
          }
          if (it.do === 'remove') {
            const id = [...running][it.at % Math.max(1, running.size)];
            if (id !== undefined) queue.remove(id);
            running.delete(id);
          }
          if (it.do === 'advance') {
            nowMs += it.gapMs;
            startedIds(queue, nowMs).forEach(start);
          }
          expect(running.size).to.be.at.most(4);
          expect(queue.runningCount).to.equal(running.size);
        });
      }),
      { numRuns: fuzzRuns, seed: 41 },
    );
  });
});
