import type { LogPage, LogPort } from '@chervilseam/ports';

/** Maximum number of concurrent appends. */
const CONCURRENCY_MAX = 2;

/** Prefixes of the names of streams, in order of decreasing priority. */
const PREFIXES_BY_PRIORITY = ['domain-', 'keys-', 'config'];

interface WaitingAppend {
  /** Position of the stream's prefix in `PREFIXES_BY_PRIORITY`; the lowest rank goes first. */
  readonly rank: number;
  readonly run: () => void;
}

const rankOf = (stream: string): number => {
  const index = PREFIXES_BY_PRIORITY.findIndex((prefix) => stream.startsWith(prefix));
  return index < 0 ? PREFIXES_BY_PRIORITY.length : index;
};

/**
 * Limits the number of concurrent appends to the log. Waiting appends are made in order of
 * priority: those of failure domains (ownership and placement), then those of keys, then snapshots
 * of the configuration. While an append waits, its journal collects further entries for the next
 * one, so a slow log receives fewer and larger appends.
 */
export class PrioritizedLog implements LogPort {
  readonly #log: LogPort;
  readonly #waiting: WaitingAppend[] = [];
  #runningCount = 0;

  /** @param log - the platform's log */
  constructor(log: LogPort) {
    this.#log = log;
  }

  /** Number of appends that wait. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  append(stream: string, values: readonly unknown[]): Promise<number> {
    return new Promise((resolve, reject) => {
      const run = (): void => {
        this.#log
          .append(stream, values)
          .then(resolve, reject)
          .finally(() => {
            this.#runningCount -= 1;
            this.#startNext();
          });
      };
      this.#waiting.push({ rank: rankOf(stream), run });
      this.#startNext();
    });
  }

  read(stream: string, fromOffset: number, limit: number): Promise<LogPage> {
    return this.#log.read(stream, fromOffset, limit);
  }

  // Starts the waiting append with the lowest rank, the oldest of these first, if one may start.
  #startNext(): void {
    if (this.#runningCount >= CONCURRENCY_MAX || this.#waiting.length === 0) return;
    const lowestRank = Math.min(...this.#waiting.map(({ rank }) => rank));
    const index = this.#waiting.findIndex(({ rank }) => rank === lowestRank);
    const [next] = this.#waiting.splice(index, 1);
    this.#runningCount += 1;
    next.run();
  }
}
