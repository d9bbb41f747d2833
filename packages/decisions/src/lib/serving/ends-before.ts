/** A request that is about to be sent to an endpoint by a process that stops. */
interface LateRequest {
  /** Whether the request may be repeated: then its caller loses nothing but time when it is cut. */
  readonly isIdempotent: boolean;
  /** Time until its deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Time within which its answer is expected to be complete, in milliseconds; unset if nothing is known. */
  readonly expectedMs?: number;
}

/**
 * Decides whether a process that stops may still send a request: its answer has to be complete before the process
 * exits. What may not be repeated must end whatever happens, so its deadline counts; any other request is
 * judged by how long such answers take.
 *
 * @param request - the request
 * @param leftMs - time until the process ends what is open, in milliseconds; Infinity unless it stops
 * @returns whether the answer ends before that
 */
export function endsBefore(
  { isIdempotent, remainingMs, expectedMs }: LateRequest,
  leftMs: number,
): boolean {
  if (!isIdempotent || expectedMs === undefined) return isIdempotent || remainingMs <= leftMs;
  return Math.min(expectedMs, remainingMs) <= leftMs;
}
