/** An endpoint that could take a request. */
export interface EndpointChoice {
  readonly id: string;
  /** Requests of all instances that are under way there, as far as known. */
  readonly outstandingCount: number;
  readonly slotCount: number;
  readonly isPaused: boolean;
  /** Recent failures, the older the fewer. */
  readonly failureCount: number;
  /** Time to read the prompts that wait there and the request's own, in milliseconds. */
  readonly readMs: number;
  /** Mean time to answer of late, in milliseconds. */
  readonly latencyMs: number;
  /** Mean pause between events of late, in milliseconds. */
  readonly paceMs: number;
  readonly isLocal: boolean;
}

/** Time that a full endpoint costs against an empty one, in milliseconds: all its tokens are slower. */
const OCCUPANCY_MS = 250;
/** Events of a stream that a slow pace is felt for; a count. */
const FELT_EVENT_COUNT = 8;
/** Time that a recent failure costs, in milliseconds: about what a second attempt takes. */
const FAILURE_MS = 300;
/** Time that a paused endpoint costs, in milliseconds: more than anything else. */
const PAUSED_MS = 10_000;
/** Time that a hop to another failure domain costs, in milliseconds. */
const REMOTE_MS = 4;
/** Time to wait for a place when all are taken, in milliseconds, for each request ahead. */
const QUEUED_MS = 30;
/** Costs this near to the best count as equal, in milliseconds. */
const TIE_MS = 6;

/**
 * @param choice - an endpoint
 * @returns the time that a request is expected to lose there, in milliseconds
 */
function costMs(choice: EndpointChoice): number {
  const { outstandingCount, slotCount, latencyMs, failureCount } = choice;
  const occupancy = outstandingCount / Math.max(1, slotCount);
  const queuedMs = QUEUED_MS * Math.max(0, outstandingCount + 1 - slotCount);
  return (
    latencyMs * (1 + occupancy) +
    choice.readMs +
    FELT_EVENT_COUNT * choice.paceMs +
    OCCUPANCY_MS * occupancy +
    queuedMs +
    FAILURE_MS * failureCount +
    (choice.isPaused ? PAUSED_MS : 0) +
    (choice.isLocal ? 0 : REMOTE_MS)
  );
}

/**
 * Chooses at random among the endpoints whose cost is nearly the lowest: instances that know the
 * same loads must not all run to the same endpoint.
 *
 * @param choices - endpoints that could serve
 * @param unit - a random number from 0 up to 1
 * @returns the chosen one, or `undefined` when there is none
 */
export function chooseEndpoint(
  choices: readonly EndpointChoice[],
  unit: number,
): EndpointChoice | undefined {
  const costed = choices
    .map((choice) => ({ choice, cost: costMs(choice) }))
    .sort((left, right) => left.cost - right.cost);
  if (costed.length === 0) return undefined;
  const limit = costed[0].cost + TIE_MS;
  const near = costed.filter(({ cost }) => cost <= limit);
  return near[Math.floor(unit * near.length)].choice;
}
