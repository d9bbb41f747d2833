import { expect } from 'chai';
import { EventLoopLag } from '../lib/observe/event-loop-lag.js';

const PERIOD_MS = 50;

// Bytes that are read after a stall have waited for up to its whole length; what is read next may belong to a
// connection that was accepted only then.
describe('EventLoopLag', () => {
  let lag: EventLoopLag;

  beforeEach(() => {
    lag = new EventLoopLag(PERIOD_MS);
    lag.tick(1_000);
  });

  it('is 0 while the timer is not due', () => expect(lag.lagMs(1_049)).to.equal(0));

  it('grows while a turn of the event loop goes on', () => expect(lag.lagMs(1_550)).to.equal(500));

  it('is kept for the turn after the timer has run late', () => {
    expect(lag.tick(1_550)).to.equal(500);
    expect(lag.lagMs(1_560)).to.equal(500);
    expect(lag.lagMs(1_700)).to.equal(100);
  });

  it('ends when the timer runs in time again', () => {
    lag.tick(1_550);
    lag.tick(1_600);
    expect(lag.lagMs(1_610)).to.equal(0);
  });
});
