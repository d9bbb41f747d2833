import type { Random } from '../random.js';
import type { EndpointLoad } from './endpoint-load.js';

/** Time that a hop to another failure domain costs in the choice, in milliseconds. */
const REMOTE_MS = 2;
/** Time that a slowed endpoint costs in the choice, in milliseconds. */
const SLOWED_MS = 1_000;
/** Costs this near to the best are equal: the choice among them is random, to avoid herds. */
const TIE_MS = 10;
/** Time that a request is taken to run while no owner has said, in milliseconds. */
const UNKNOWN_SERVICE_MS = 1_000;
/** How much each running request counts in the choice even while places are free, as a share. */
const OCCUPANCY_MS = 200;
/** Word of a slowed endpoint holds this long; then the endpoint is tried again, in milliseconds. */
const SLOWED_MEMORY_MS = 1_000;
/** Word of the time to the first token counts less with age and for nothing after this, in milliseconds. */
const SPEED_MEMORY_MS = 5_000;

interface RouteEntry {
  load: EndpointLoad;
  readonly updatedMs: number;
  /** Requests sent from here since the owner's last word. */
  sentSinceCount: number;
}

/** An endpoint that could serve a request. */
interface RouteCandidate {
  readonly endpoint: string;
  readonly isLocal: boolean;
}

const unknownLoad: EndpointLoad = {
  runningCount: 0,
  waitingCount: 0,
  limit: 4,
  serviceMs: 0,
  firstTokenMs: 0,
  tokenMs: 0,
  isSlowed: false,
};

/** An entry's view of the endpoints' loads, and the choice among them. */
export class RouteTable {
  readonly #random: Random;
  readonly #entries = new Map<string, RouteEntry>();

  /** @param random - seeded numbers, to break ties */
  constructor(random: Random) {
    this.#random = random;
  }

  /**
   * Takes an owner's word.
   *
   * @param endpoint - the endpoint
   * @param load - its load
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  update(endpoint: string, load: EndpointLoad, nowMs: number): void {
    this.#entries.set(endpoint, { load, updatedMs: nowMs, sentSinceCount: 0 });
  }

  /**
   * Chooses an endpoint and counts the request as sent there.
   *
   * @param candidates - endpoints that have what the request needs
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns the chosen one, or `undefined` when there is none
   */
  choose(candidates: readonly RouteCandidate[], nowMs: number): RouteCandidate | undefined {
    const costs = candidates.map((candidate) => this.costMs(candidate, nowMs));
    const limitMs = Math.min(...costs) + TIE_MS;
    const best = this.#random.pick(candidates.filter((_, index) => costs[index] <= limitMs));
    if (best) this.#entry(best.endpoint).sentSinceCount += 1;
    return best;
  }

  /**
   * @param candidate - an endpoint
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns the time that a request is expected to lose there, in milliseconds
   */
  costMs({ endpoint, isLocal }: RouteCandidate, nowMs: number): number {
    const { load, sentSinceCount, updatedMs } = this.#entry(endpoint);
    const ageMs = nowMs - updatedMs;
    const gapMs = load.serviceMs / load.limit;
    // Old word grows better with time: requests end, and a neighbour's disturbance passes. Without
    // that an endpoint once avoided would never be heard of again.
    const endedCount = ageMs / (gapMs > 0 ? gapMs : UNKNOWN_SERVICE_MS);
    const known = Math.max(0, load.runningCount + load.waitingCount - endedCount);
    const outstanding = known + sentSinceCount;
    const waitMs = Math.max(0, outstanding + 1 - load.limit) * gapMs;
    const occupancyMs = (OCCUPANCY_MS * outstanding) / load.limit;
    const freshness = Math.max(0, 1 - ageMs / SPEED_MEMORY_MS);
    const firstTokenMs = load.firstTokenMs * freshness;
    const slowedMs = load.isSlowed && ageMs < SLOWED_MEMORY_MS ? SLOWED_MS : 0;
    return waitMs + firstTokenMs + occupancyMs + slowedMs + (isLocal ? 0 : REMOTE_MS);
  }

  #entry(endpoint: string): RouteEntry {
    const known = this.#entries.get(endpoint);
    if (known) return known;
    const entry = { load: unknownLoad, updatedMs: 0, sentSinceCount: 0 };
    this.#entries.set(endpoint, entry);
    return entry;
  }
}
