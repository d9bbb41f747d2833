/** Share of a request's latency objective that the prefill of its prompt and those ahead may take. */
const OBJECTIVE_SHARE = 0.8;
/**
 * Share of the longest pause between events that the prefill of queued prompts may take. The rest is
 * left for the steps before and after it.
 */
const PACE_SHARE = 0.8;

/** The objectives that a queue of prompts can violate. */
interface PrefillCase {
  /** Latency objective of the request, in milliseconds. */
  readonly objectiveMs: number;
  /** Longest pause between events that meets the route's objective, in milliseconds. */
  readonly paceMaxMs: number;
}

/**
 * Limits the prompts that an engine has queued in a burst of requests. The engine reads them one after
 * the other, and its running streams produce hardly any events meanwhile: a queue longer than the
 * allowed pause makes every one of them late, also when the new request itself could wait for seconds.
 *
 * @param objectives - objectives of the request, whose pace stands for that of the running streams
 * @returns longest time to prefill the queued prompts and the request's own, in milliseconds
 */
export const prefillLimitMs = ({ objectiveMs, paceMaxMs }: PrefillCase): number =>
  Math.min(OBJECTIVE_SHARE * objectiveMs, PACE_SHARE * paceMaxMs);
