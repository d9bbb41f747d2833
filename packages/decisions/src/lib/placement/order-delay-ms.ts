import { UNLOAD_NOTICE_MS } from './unload-notice-ms.js';

/** Time from the end of an unload until the engine's report shows it, in milliseconds. */
const UNLOAD_REPORT_MS = 350;

/**
 * @param unloadCount - number of models that a move unloads
 * @param runsMs - expected time until the runs on these models have ended, in milliseconds
 * @returns expected time from the decision on the move to the order of its load, in milliseconds
 */
export function orderDelayMs(unloadCount: number, runsMs: number): number {
  if (unloadCount === 0) return 0;
  return Math.max(UNLOAD_NOTICE_MS, runsMs) + unloadCount * UNLOAD_REPORT_MS;
}
