import { expect } from 'chai';
import { runInSlices } from '../lib/owner/run-in-slices.js';

const STEP_MS = 3;
const SLICE_MS = 8;

// Planning in one turn of the event loop kept callers waiting for the whole of it.
describe('runInSlices', () => {
  it('lets other work run between slices, and adds up their time only', async () => {
    let nowMs = 0;
    let turns = 0;
    const longestMs: number[] = [];
    let turnStartMs = 0;
    const onTurn = (): void => {
      turns += 1;
      longestMs.push(nowMs - turnStartMs);
      // Time that other work takes.
      nowMs += 100;
      turnStartMs = nowMs;
      if (turns < 20) setImmediate(onTurn);
    };
    function* steps(): Generator<void, string, void> {
      for (let step = 0; step < 20; step += 1) {
        nowMs += STEP_MS;
        yield;
      }
      return 'plan';
    }
    setImmediate(onTurn);
    const { value, busyMs } = await runInSlices(steps(), { nowMs: () => nowMs, sliceMs: SLICE_MS });
    expect(value).to.equal('plan');
    expect(busyMs).to.equal(20 * STEP_MS);
    expect(Math.max(...longestMs)).to.be.at.most(SLICE_MS + STEP_MS);
  });
});
