/** Longest time between two reads of the list by the instance that reads it, in milliseconds. */
const READ_PERIOD_MAX_MS = 1_000;
/**
 * Time between two reads as a fraction of the time within which a leaving endpoint must be avoided. The
 * rest allows for a reader that fails and for the way of a page to the other instances.
 */
const READ_PERIOD_SHARE = 0.23;
/** Longest time for which an endpoint is suspected, in milliseconds. */
const SUSPICION_MAX_MS = 1_600;
/** Part of the time to avoid an endpoint that the way of a read to all instances takes. */
const RELAY_SHARE = 0.15;

/** Times of the list of endpoints, which together keep the bound within which an endpoint that leaves is avoided. */
interface ListTimes {
  /** Time between two reads of the list, in milliseconds. */
  readonly readPeriodMs: number;
  /** Time for which an endpoint is suspected whose entry vanished while the store was unstable, in milliseconds. */
  readonly suspicionMs: number;
}

/**
 * @param leaveBoundMs - time within which no request may reach an endpoint that leaves, in milliseconds
 * @returns the times of the list of endpoints
 */
export const listTimesOf = (leaveBoundMs: number): ListTimes => {
  const readPeriodMs = Math.min(READ_PERIOD_MAX_MS, READ_PERIOD_SHARE * leaveBoundMs);
  const restMs = leaveBoundMs * (1 - RELAY_SHARE) - readPeriodMs;
  return { readPeriodMs, suspicionMs: Math.min(SUSPICION_MAX_MS, restMs) };
};
