import type { Random } from '../random.js';
import type { EndpointLoad } from './endpoint-load.js';

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
  limit: 1,
  waitMs: 0,
  firstTokenMs: 0,
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
    let best: RouteCandidate | undefined;
    let bestScore = Infinity;
    this.#random.shuffle(candidates).forEach((candidate) => {
      const score = this.#score(candidate);
      if (score < bestScore) {
        best = candidate;
        bestScore = score;
      }
    });
    if (best) this.#entry(best.endpoint).sentSinceCount += 1;
    return best;
  }

  #score({ endpoint, isLocal }: RouteCandidate): number {
    const { load, sentSinceCount } = this.#entry(endpoint);
    const outstanding = load.runningCount + load.waitingCount + sentSinceCount;
    return (outstanding + (isLocal ? 0 : 1)) / load.limit;
  }

  #entry(endpoint: string): RouteEntry {
    const known = this.#entries.get(endpoint);
    if (known) return known;
    const entry = { load: unknownLoad, sentSinceCount: 0 };
    this.#entries.set(endpoint, entry);
    return entry;
  }
}
