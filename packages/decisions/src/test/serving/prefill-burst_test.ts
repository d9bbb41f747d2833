import { expect } from 'chai';
import { prefillLimitMs } from '../../lib/serving/prefill-limit-ms.js';
import { waitLimitMs } from '../../lib/serving/wait-limit-ms.js';

// Twelve requests with prompts of 90 ms each arrived at an engine with running streams within a second.
// All were sent at once, as the last of them would still meet its objective of 800 ms: the running
// streams paused for 600 ms, twice what their objectives allow, and all of them were late.
describe('A burst of prompts at an engine with running streams', () => {
  const PROMPT_MS = 90;
  const PACE_MAX_MS = 300;

  // Longest pause of the running streams when prompts are sent up to the limit.
  const longestPauseMs = (objectiveMs: number): number => {
    const limitMs = prefillLimitMs({ objectiveMs, paceMaxMs: PACE_MAX_MS });
    let queuedMs = 0;
    while (queuedMs + PROMPT_MS <= limitMs) queuedMs += PROMPT_MS;
    return queuedMs;
  };

  [300, 800, 5_000].forEach((objectiveMs) => {
    it(`does not pause them longer than allowed at an objective of ${objectiveMs} ms`, () => {
      expect(longestPauseMs(objectiveMs)).to.be.within(PROMPT_MS, PACE_MAX_MS);
      expect(longestPauseMs(objectiveMs)).to.be.lessThan(objectiveMs);
    });
  });

  it('lets the rest wait while they can still meet their objective', () => {
    const request = {
      hasPartialAnswer: false,
      elapsedMs: 0,
      remainingMs: 5_000,
      objectiveMs: 800,
      callerPatienceMs: 3_200,
    };
    const limitMs = waitLimitMs({ ...request, waitsFor: 'prefill' });
    expect(limitMs).to.be.greaterThan(3 * PROMPT_MS);
    expect(limitMs + PACE_MAX_MS).to.be.lessThan(request.objectiveMs);
    expect(limitMs).to.be.greaterThan(waitLimitMs({ ...request, waitsFor: 'slot' }));
  });
});
