/** Part of the time left that a request may wait. */
const LEFT_SHARE = 0.55;
/** Part of its objective that a request may wait for a place. */
const PLACE_SHARE = 0.12;
/** Part of the time after which callers leave that a request may wait for a model. */
const PATIENCE_SHARE = 0.7;

/** A request that could wait. */
interface WaitCase {
  /** Whether places are taken; otherwise a model or adapter is missing. */
  readonly isForPlace: boolean;
  /** Whether the caller has a part of the answer already. */
  readonly isAnswering: boolean;
  /** Time since the request came, in milliseconds. */
  readonly sinceMs: number;
  /** Time until its deadline, in milliseconds. */
  readonly leftMs: number;
  readonly objectiveMs: number;
  /** Time without an answer after which callers leave, in milliseconds. */
  readonly callerPatienceMs: number;
}

/**
 * Says how long a request may wait when engines are full or a model is nowhere. For a place it waits
 * no longer than its answer would still be on time, as more callers come meanwhile; a model that is
 * being loaded is worth a wait, but a caller that hears nothing leaves long before its deadline.
 *
 * @param request - the request
 * @returns the longest wait from now, in milliseconds; 0 or less when it must not wait
 */
export function waitLimitMs(request: WaitCase): number {
  const { isForPlace, isAnswering, sinceMs, leftMs, objectiveMs, callerPatienceMs } = request;
  const byDeadlineMs = LEFT_SHARE * leftMs;
  if (isAnswering) return byDeadlineMs;
  const patienceMs = isForPlace ? PLACE_SHARE * objectiveMs : PATIENCE_SHARE * callerPatienceMs;
  return Math.min(byDeadlineMs, patienceMs - sinceMs);
}
