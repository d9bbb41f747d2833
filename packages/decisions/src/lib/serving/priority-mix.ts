/** How long a priority counts as in use after a request with it, in milliseconds. */
const RETENTION_MS = 10_000;
/** Number of urgent requests that an endpoint may queue beyond its slots, as a fraction of these. */
const QUEUED_SHARE = 1 / 8;

/** A request that asks for a slot. */
interface SlotCase {
  /** Priority of its workspace or route; 0 is the most urgent. */
  readonly priority: number;
  /** Whether its caller has received a part of the answer already. */
  readonly hasPartialAnswer: boolean;
}

/**
 * Knows which priorities a service's callers use now, and lets an endpoint queue a few of the most urgent requests
 * beyond its slots. Runs of less urgent requests last for seconds; an urgent request that needs a slot for a moment would
 * be refused until one of them ends, and at the instances that wait for a slot another of those might get it. The
 * endpoint admits the most urgent first, whichever instance sent it. It changes nothing while slots are free or all
 * requests are alike.
 */
export class PriorityMix {
  /** Time of the latest request, by priority, in milliseconds. */
  readonly #seenMs = new Map<number, number>();

  /**
   * @param priority - priority of a new request
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  record(priority: number, nowMs: number): void {
    this.#seenMs.set(priority, nowMs);
  }

  /**
   * @param request - a request
   * @param nowMs - current time of a monotonic clock, in milliseconds
   * @returns fraction of an endpoint's slots that may be taken when the request is sent there; above 1 the endpoint
   *   may queue it
   */
  slotShare({ priority, hasPartialAnswer }: SlotCase, nowMs: number): number {
    if (hasPartialAnswer) return 1 + QUEUED_SHARE;
    const inUse = [...this.#seenMs]
      .filter(([, seenMs]) => nowMs - seenMs < RETENTION_MS)
      .map(([other]) => other);
    const isMostUrgent = inUse.every((other) => other >= priority);
    const hasLessUrgent = inUse.some((other) => other > priority);
    return isMostUrgent && hasLessUrgent ? 1 + QUEUED_SHARE : 1;
  }
}
