import { expect } from 'chai';
import {
  callerReturnMs,
  placeEtaMs,
  PriorityMix,
  waitLimitMs,
  WaitQueue,
} from '@chervilseam/decisions';
import type { Waiter } from '@chervilseam/decisions';

/** Requests that wait for places, of which `freePlaceCount` are free. */
class Room {
  readonly queue = new WaitQueue();
  readonly served: string[] = [];
  tryCount = 0;
  freePlaceCount = 0;

  add(name: string, fields: Partial<Waiter> = {}): void {
    this.queue.add({
      priority: 1,
      group: 'chat',
      lane: 'm',
      dueMs: 300,
      startMs: 0,
      workMs: 100,
      sinceMs: 0,
      untilMs: 60_000,
      tryDispatch: () => this.#take(name),
      onDropped: () => this.served.push(`${name} dropped`),
      ...fields,
    });
  }

  free(count: number, nowMs = 10): void {
    this.freePlaceCount += count;
    this.queue.dispatchWaiting(nowMs);
  }

  #take(name: string): boolean {
    this.tryCount += 1;
    if (this.freePlaceCount === 0) return false;
    this.freePlaceCount -= 1;
    this.served.push(name);
    return true;
  }
}

const addMany = (room: Room, count: number, name: string, fields: Partial<Waiter>): void =>
  Array.from({ length: count }, (_, index) => index).forEach((index) =>
    room.add(`${name}${index}`, fields),
  );

// Batch callers send many requests at once; a moment later live callers of the same priority need an answer within
// 300 ms. Served by arrival, the live callers would wait until the batch is through.
describe('a burst of patient requests ahead of urgent ones', () => {
  it('serves the urgent first, and the patient all the same', () => {
    const room = new Room();
    addMany(room, 20, 'batch', { group: 'batch', dueMs: 8_000 });
    addMany(room, 3, 'live', { dueMs: 320 });
    room.free(4);
    expect(room.served.filter((name) => name.startsWith('live'))).to.have.length(3);
    expect(room.served[3]).to.equal('batch0');
  });

  it('lets an engine queue the most urgent, only while callers use more than one priority', () => {
    const mix = new PriorityMix();
    const request = { hasPartialAnswer: false };
    mix.record(0, 0);
    expect(mix.slotShare({ ...request, priority: 0 }, 1)).to.equal(1);
    mix.record(2, 1);
    expect(mix.slotShare({ ...request, priority: 2 }, 2)).to.equal(1);
    expect(mix.slotShare({ ...request, priority: 0 }, 2)).to.be.within(1.05, 1.25);
    expect(mix.slotShare({ ...request, priority: 0 }, 60_000)).to.equal(1);
  });

  it('gives a free place to the requests that wait, and counts only those ahead of a new one', () => {
    const room = new Room();
    addMany(room, 5, 'batch', { priority: 2, dueMs: 8_000 });
    addMany(room, 3, 'live', {});
    const place = { group: 'new', dueMs: 310, startMs: 0, workMs: 100 };
    expect(room.queue.dispatchAhead({ ...place, priority: 0 }, 'm', 10)).to.equal(0);
    room.freePlaceCount = 1;
    expect(room.queue.dispatchAhead({ ...place, priority: 1 }, 'm', 10)).to.equal(2);
    expect(room.served).to.deep.equal(['live0']);
  });

  it('does not pass over a less urgent request for good', () => {
    const room = new Room();
    room.add('patient', { priority: 2, group: 'batch', dueMs: 60_000 });
    for (let nowMs = 0; !room.served.includes('patient') && nowMs < 1_000; nowMs += 10) {
      addMany(room, 2, 'urgent', { priority: 0, sinceMs: nowMs + 1, dueMs: nowMs + 300 });
      room.free(1, nowMs);
    }
    expect(room.served.length).to.be.within(2, 20);
  });
});

// One workspace sends many times its usual. The requests of the others arrive behind its backlog.
describe('a surge of one workspace', () => {
  it('delays that workspace, not the others', () => {
    const room = new Room();
    addMany(room, 50, 'surge', { group: 'large chat', dueMs: 300 });
    addMany(room, 2, 'small', { group: 'small chat', dueMs: 310 });
    room.free(4);
    expect(room.served).to.include.members(['small0', 'small1']);
  });
});

// Refused callers return at once and often. Their time has passed already; served first, they would make the new
// callers late as well.
describe('repeats of impatient callers', () => {
  it('serves requests that can still be in time before those that are late', () => {
    const room = new Room();
    addMany(room, 5, 'repeat', { dueMs: 100 });
    room.add('new', { dueMs: 450 });
    room.free(2, 200);
    expect(room.served).to.deep.equal(['new', 'repeat0']);
  });

  it('refuses at once when the requests ahead take longer than the time that is left', () => {
    const request = {
      waitsFor: 'slot' as const,
      hasPartialAnswer: false,
      elapsedMs: 40,
      remainingMs: 12_000,
      objectiveMs: 300,
      callerPatienceMs: 2_400,
    };
    const etaMs = (aheadCount: number): number | undefined =>
      placeEtaMs({ aheadCount, placeCount: 32, holdMs: 2_000 });
    expect(waitLimitMs({ ...request, slotEtaMs: etaMs(0) })).to.be.greaterThan(62);
    expect(waitLimitMs({ ...request, slotEtaMs: etaMs(5) })).to.be.lessThan(0);
  });

  it('spreads their return over the time in which places become free, and not before the first', () => {
    const refused = { etaMs: 400, holdMs: 2_000, remainingMs: 12_000 };
    expect(callerReturnMs(refused, 0)).to.equal(400);
    expect(callerReturnMs(refused, 0.999)).to.be.within(2_000, 12_000 / 3);
  });
});

// A few prompts are many times larger than the rest; each delays all that come after it.
describe('prompts larger than the rest', () => {
  it('serves short requests before a long one that is due at the same time', () => {
    const room = new Room();
    room.add('long', { workMs: 2_000 });
    addMany(room, 3, 'short', { workMs: 50 });
    room.free(3);
    expect(room.served).to.deep.equal(['short0', 'short1', 'short2']);
    room.free(1);
    expect(room.served[3]).to.equal('long');
  });
});

// A failure domain is back after a cut: hundreds of requests wait for a few models, and places become free one by one.
describe('everything at once after a cut', () => {
  it('tries a few requests of each model for a free place', () => {
    const room = new Room();
    ['a', 'b', 'c'].forEach((lane) => addMany(room, 200, lane, { lane }));
    room.free(1);
    expect(room.served).to.have.length(1);
    expect(room.tryCount).to.be.at.most(3 * 4);
  });

  it('ends the wait of those that were not tried', () => {
    const room = new Room();
    addMany(room, 200, 'a', { untilMs: 50 });
    room.free(0, 60);
    expect(room.served).to.have.length(200);
    expect(room.queue.size).to.equal(0);
  });
});
