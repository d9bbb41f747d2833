/** An endpoint that could serve a request, with what its cost depends on. */
export interface EndpointCandidate {
  readonly id: string;
  /** Number of requests of all instances in progress there, as far as this instance knows. */
  readonly outstandingCount: number;
  readonly slotCount: number;
  readonly isPaused: boolean;
  /** Number of recent failures; each counts less the older it is. */
  readonly failureCount: number;
  /**
   * Time to process the prompts that are queued there and the request's own (prefill), in
   * milliseconds.
   */
  readonly prefillMs: number;
  /** Recent mean time to the first bytes of an answer, in milliseconds. */
  readonly latencyMs: number;
  /** Recent mean time between events of a stream, in milliseconds. */
  readonly interEventMs: number;
  /** Whether it is in the failure domain of this instance. */
  readonly isLocal: boolean;
}

/** Extra cost of a full endpoint over an empty one, in milliseconds: all its tokens come slower. */
const OCCUPANCY_COST_MS = 250;
/** Number of events of a stream whose delay counts as cost. */
const DELAYED_EVENT_COUNT = 8;
/** Cost of a recent failure, in milliseconds: about the duration of a second attempt. */
const FAILURE_COST_MS = 300;
/** Cost of a paused endpoint, in milliseconds: more than all other costs. */
const PAUSED_COST_MS = 10_000;
/** Cost of a network hop to another failure domain, in milliseconds. */
const REMOTE_COST_MS = 4;
/**
 * Waiting time for a slot when all are taken, in milliseconds for each request beyond the slots.
 */
const SLOT_WAIT_MS = 30;
/**
 * Cost of each request in progress at an endpoint that may end under the new one, in milliseconds: more
 * than the other costs, and a full endpoint still costs less than a paused one.
 */
const LOST_REQUEST_COST_MS = 100;
/** Costs within this distance of the lowest count as equal, in milliseconds. */
const TIE_MS = 6;

/**
 * @param candidate - an endpoint
 * @param isSuspect - whether the endpoint may end under the request
 * @returns expected delay of a request at the endpoint, in milliseconds
 */
function costMs(candidate: EndpointCandidate, isSuspect: boolean): number {
  const { outstandingCount, slotCount, latencyMs, failureCount } = candidate;
  const occupancy = outstandingCount / Math.max(1, slotCount);
  const queuedMs = SLOT_WAIT_MS * Math.max(0, outstandingCount + 1 - slotCount);
  return (
    latencyMs * (1 + occupancy) +
    candidate.prefillMs +
    DELAYED_EVENT_COUNT * candidate.interEventMs +
    OCCUPANCY_COST_MS * occupancy +
    queuedMs +
    FAILURE_COST_MS * failureCount +
    (candidate.isPaused ? PAUSED_COST_MS : 0) +
    (isSuspect ? LOST_REQUEST_COST_MS * outstandingCount : 0) +
    (candidate.isLocal ? 0 : REMOTE_COST_MS)
  );
}

/**
 * Chooses at random among the endpoints whose cost is nearly the lowest, so that instances that
 * know the same loads don't all choose the same endpoint.
 *
 * @param candidates - endpoints that could serve the request
 * @param unit - random number in [0, 1)
 * @param isSuspect - whether the endpoint may end under the request, which would break off the others there
 * @returns the chosen endpoint, or `undefined` when `candidates` is empty
 */
export function chooseEndpoint(
  candidates: readonly EndpointCandidate[],
  unit: number,
  isSuspect = false,
): EndpointCandidate | undefined {
  const costed = candidates
    .map((candidate) => ({ candidate, cost: costMs(candidate, isSuspect) }))
    .sort((left, right) => left.cost - right.cost);
  if (costed.length === 0) return undefined;
  const costMax = costed[0].cost + TIE_MS;
  const cheapest = costed.filter(({ cost }) => cost <= costMax);
  return cheapest[Math.floor(unit * cheapest.length)].candidate;
}
