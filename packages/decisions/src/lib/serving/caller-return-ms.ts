/** Time until a refused caller returns when no estimate is known, in milliseconds. */
const DEFAULT_MS = 600;
/** Least spread of the times at which callers that are refused together return, in milliseconds. */
const SPREAD_MIN_MS = 1_200;
/** Share of the time that a caller has left after which it returns at the latest, unless there is no room before. */
const REMAINING_SHARE = 0.25;

/** A request that is refused for lack of room. */
interface RefusedCase {
  /** Expected time until there is room, in milliseconds; absent when unknown. */
  readonly etaMs?: number;
  /** Mean time for which a request occupies a place, in milliseconds; absent when unknown. */
  readonly holdMs?: number;
  /** Time until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
}

/**
 * Chooses the `Retry-After` of a refused request: not before there is room, and spread over the time in which all places
 * become free once, so that callers that were refused together do not retry together.
 *
 * @param request - the request that is refused
 * @param unit - a random number from 0 up to 1
 * @returns time after which the caller should return, in milliseconds
 */
export function callerReturnMs(
  { etaMs, holdMs = 0, remainingMs }: RefusedCase,
  unit: number,
): number {
  const spreadMs = Math.max(SPREAD_MIN_MS, Math.min(holdMs, REMAINING_SHARE * remainingMs));
  return (etaMs ?? DEFAULT_MS) + unit * spreadMs;
}
