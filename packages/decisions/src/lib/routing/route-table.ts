import type { Random } from '../random.js';
import type { EndpointLoad } from './endpoint-load.js';

/** Time that a hop to another failure domain costs in the choice, in milliseconds. */
const REMOTE_MS = 2;
/** Time that a slowed endpoint costs in the choice, in milliseconds. */
const SLOWED_MS = 1_000;
/** Costs this near to the best are equal: the choice among them is random, to avoid herds. */
const TIE_MS = 5;
/** How much each running request counts in the choice even while places are free, as a share. */
const OCCUPANCY_MS = 200;

interface RouteEntry {
  load: EndpointLoad;
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
   */
  update(endpoint: string, load: EndpointLoad): void {
    this.#entries.set(endpoint, { load, sentSinceCount: 0 });
  }

  /**
   * Chooses an endpoint and counts the request as sent there.
   *
   * @param candidates - endpoints that have what the request needs
   * @returns the chosen one, or `undefined` when there is none
   */
  choose(candidates: readonly RouteCandidate[]): RouteCandidate | undefined {
    const costs = candidates.map((candidate) => this.costMs(candidate));
    const limitMs = Math.min(...costs) + TIE_MS;
    const best = this.#random.pick(candidates.filter((_, index) => costs[index] <= limitMs));
    if (best) this.#entry(best.endpoint).sentSinceCount += 1;
    return best;
  }

  /**
   * @param candidate - an endpoint
   * @returns the time that a request is expected to lose there, in milliseconds
   */
  costMs({ endpoint, isLocal }: RouteCandidate): number {
    const { load, sentSinceCount } = this.#entry(endpoint);
    const outstanding = load.runningCount + load.waitingCount + sentSinceCount;
    const excess = Math.max(0, outstanding + 1 - load.limit);
    const waitMs = (excess * load.serviceMs) / load.limit;
    const occupancyMs = (OCCUPANCY_MS * outstanding) / load.limit;
    const slowedMs = load.isSlowed ? SLOWED_MS : 0;
    return waitMs + load.firstTokenMs + occupancyMs + slowedMs + (isLocal ? 0 : REMOTE_MS);
  }

  #entry(endpoint: string): RouteEntry {
    const known = this.#entries.get(endpoint);
    if (known) return known;
    const entry = { load: unknownLoad, sentSinceCount: 0 };
    this.#entries.set(endpoint, entry);
    return entry;
  }
}
