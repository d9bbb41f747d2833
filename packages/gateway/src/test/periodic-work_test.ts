import type { PartLogger } from '@chervilseam/observe';
import { expect } from 'chai';
import { PeriodicWork } from '../lib/observe/periodic-work.js';

// One part that threw on an odd value kept all later parts of the periodic work from running, in every round.
describe('PeriodicWork', () => {
  let nowMs: number;
  let events: string[];
  let ran: string[];

  const workOf = (parts: Readonly<Record<string, () => void>>): PeriodicWork => {
    const log = (event: string): void => {
      events.push(event);
    };
    const logger = { info: log, error: log } as unknown as PartLogger;
    return new PeriodicWork({ nowMs: () => nowMs, logger, parts });
  };

  beforeEach(() => {
    nowMs = 0;
    events = [];
    ran = [];
  });

  it('runs the parts after one that throws, and logs the failure once a second', () => {
    const work = workOf({
      first: () => {
        throw new Error('odd value');
      },
      second: () => ran.push('second'),
    });
    work.run();
    nowMs += 50;
    work.run();
    expect(ran).to.deep.equal(['second', 'second']);
    expect(events).to.deep.equal(['work_failed']);
    nowMs += 1_000;
    work.run();
    expect(events).to.deep.equal(['work_failed', 'work_failed']);
  });

  it('logs which parts took long', () => {
    const work = workOf({
      quick: () => ran.push('quick'),
      slow: () => {
        nowMs += 80;
      },
    });
    work.run();
    work.run();
    expect(events).to.deep.equal(['work_slow']);
  });
});
