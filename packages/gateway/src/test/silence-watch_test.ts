import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import { SilenceWatch } from '../lib/dispatch/silence-watch.js';
import type { EventLoop } from '../lib/observe/event-loop.js';

const TIMEOUT_MS = 10;
const WAIT_MS = 60;

// After a stall of the event loop an endpoint counted as silent although its answer had arrived, unread.
describe('SilenceWatch', () => {
  let isStalled: boolean;
  let afterPoll: (() => void) | undefined;
  let silentCount: number;
  let watch: SilenceWatch;

  beforeEach(() => {
    isStalled = false;
    afterPoll = undefined;
    silentCount = 0;
    const eventLoop = {
      get isStalled() {
        return isStalled;
      },
      afterPoll: (callback: () => void) => {
        afterPoll = callback;
      },
    } as unknown as EventLoop;
    watch = new SilenceWatch(eventLoop, () => {
      silentCount += 1;
    });
  });

  it('reports silence when the time is over', async () => {
    watch.start(TIMEOUT_MS);
    await sleep(WAIT_MS);
    expect(silentCount).to.equal(1);
  });

  it('reports nothing once it was stopped', async () => {
    watch.start(TIMEOUT_MS);
    watch.stop();
    await sleep(WAIT_MS);
    expect(silentCount).to.equal(0);
  });

  it('reports silence after a stall only if nothing had arrived', async () => {
    isStalled = true;
    watch.start(TIMEOUT_MS);
    await sleep(WAIT_MS);
    expect(silentCount).to.equal(0);
    afterPoll?.();
    expect(silentCount).to.equal(1);
  });

  [
    { name: 'data', arrive: () => watch.refresh() },
    { name: 'the head of an answer', arrive: () => watch.start(10_000) },
    { name: 'the end of an answer', arrive: () => watch.stop() },
  ].forEach(({ name, arrive }) => {
    it(`reports nothing after a stall in which ${name} had arrived`, async () => {
      isStalled = true;
      watch.start(TIMEOUT_MS);
      await sleep(WAIT_MS);
      arrive();
      afterPoll?.();
      watch.stop();
      expect(silentCount).to.equal(0);
    });
  });
});
