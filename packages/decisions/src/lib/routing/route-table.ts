import type { Random } from '../random.js';
import type { EndpointLoad } from './endpoint-load.js';

/** Cost of sending a request to another failure domain, in milliseconds. */
const REMOTE_COST_MS = 2;
/** Additional cost of an endpoint that was reported as slowed, in milliseconds. */
const SLOWED_COST_MS = 1_000;
/**
 * Costs within this difference of the lowest count as equal, in milliseconds. The choice among them
 * is random, so that not all instances send to the same endpoint at once.
 */
const COST_TIE_MS = 10;
/**
 * Assumed time between the ends of two requests while the owner has not reported a run time, in
 * milliseconds.
 */
const DEFAULT_END_INTERVAL_MS = 1_000;
/**
 * Cost of a fully occupied endpoint, in milliseconds. It is scaled by the fraction of slots in use,
 * so that load counts in the choice even while slots are free.
 */
const OCCUPANCY_COST_MS = 200;
/**
 * A report that an endpoint is slowed is ignored after this time, in milliseconds: it is tried
 * again.
 */
const SLOWED_TTL_MS = 1_000;
/**
 * The reported time to the first token counts less with age and nothing from this age on, in
 * milliseconds.
 */
const FIRST_TOKEN_TTL_MS = 5_000;

interface RouteEntry {
  load: EndpointLoad;
  /** When the load was received, on this instance's clock, in milliseconds. */
  readonly updatedMs: number;
  /** Number of requests that this instance has sent to the endpoint since then. */
  sentSinceReport: number;
}

/** An endpoint that could serve a request. */
interface RouteCandidate {
  readonly endpoint: string;
  /** Whether the endpoint is in the failure domain of this instance. */
  readonly isLocal: boolean;
}

/** Assumed load of an endpoint whose owner has not reported any. */
const unknownLoad: EndpointLoad = {
  runningCount: 0,
  waitingCount: 0,
  limit: 4,
  serviceMs: 0,
  firstTokenMs: 0,
  tokenMs: 0,
  isSlowed: false,
};

/** The reported loads of all endpoints, and the choice of an endpoint for a request by them. */
export class RouteTable {
  readonly #random: Random;
  readonly #entries = new Map<string, RouteEntry>();

  /** @param random - seeded random numbers, to break ties */
  constructor(random: Random) {
    this.#random = random;
  }

  /**
   * Stores a load that the owner of an endpoint has reported.
   *
   * @param endpoint - name of the endpoint
   * @param load - its load
   * @param nowMs - monotonic clock, in milliseconds
   */
  update(endpoint: string, load: EndpointLoad, nowMs: number): void {
    this.#entries.set(endpoint, { load, updatedMs: nowMs, sentSinceReport: 0 });
  }

  /**
   * Chooses the endpoint with the lowest cost and counts the request as sent to it.
   *
   * @param candidates - endpoints that can serve the request
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the chosen endpoint, or `undefined` when there are no candidates
   */
  choose(candidates: readonly RouteCandidate[], nowMs: number): RouteCandidate | undefined {
    const costs = candidates.map((candidate) => this.costMs(candidate, nowMs));
    const limitMs = Math.min(...costs) + COST_TIE_MS;
    const best = this.#random.pick(candidates.filter((_, index) => costs[index] <= limitMs));
    if (best) this.#entryOf(best.endpoint).sentSinceReport += 1;
    return best;
  }

  /**
   * Estimates the cost of sending a request to an endpoint.
   *
   * @param candidate - the endpoint
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the expected delay of the request there, plus penalties, in milliseconds
   */
  costMs({ endpoint, isLocal }: RouteCandidate, nowMs: number): number {
    const { load, sentSinceReport, updatedMs } = this.#entryOf(endpoint);
    const ageMs = nowMs - updatedMs;
    // Mean time between the ends of two requests while all slots are in use.
    const endIntervalMs = load.serviceMs / load.limit;
    // The cost of an old report decreases with its age, since requests end and slowdowns pass.
    // Without that, an endpoint that is avoided would get no requests, hence no new report, and
    // never be chosen.
    const endedCount = ageMs / (endIntervalMs > 0 ? endIntervalMs : DEFAULT_END_INTERVAL_MS);
    const reportedCount = Math.max(0, load.runningCount + load.waitingCount - endedCount);
    const outstanding = reportedCount + sentSinceReport;
    const waitMs = Math.max(0, outstanding + 1 - load.limit) * endIntervalMs;
    const occupancyCostMs = (OCCUPANCY_COST_MS * outstanding) / load.limit;
    const freshness = Math.max(0, 1 - ageMs / FIRST_TOKEN_TTL_MS);
    const firstTokenMs = load.firstTokenMs * freshness;
    const slowedCostMs = load.isSlowed && ageMs < SLOWED_TTL_MS ? SLOWED_COST_MS : 0;
    return waitMs + firstTokenMs + occupancyCostMs + slowedCostMs + (isLocal ? 0 : REMOTE_COST_MS);
  }

  #entryOf(endpoint: string): RouteEntry {
    const existing = this.#entries.get(endpoint);
    if (existing) return existing;
    const created = { load: unknownLoad, updatedMs: 0, sentSinceReport: 0 };
    this.#entries.set(endpoint, created);
    return created;
  }
}
