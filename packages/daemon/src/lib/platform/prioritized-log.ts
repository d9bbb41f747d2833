import type { LogPage, LogPort } from '@chervilseam/ports';

/** Appends that may be under way at once; a count. */
const CONCURRENCY = 2;

/** Streams by the start of their names, the more urgent first. */
const URGENCY = ['domain-', 'keys-', 'config'];

interface WaitingAppend {
  readonly urgency: number;
  readonly run: () => void;
}

const urgencyOf = (stream: string): number => {
  const found = URGENCY.findIndex((prefix) => stream.startsWith(prefix));
  return found < 0 ? URGENCY.length : found;
};

/**
 * A log whose appends wait for one another: while it is slow, ownership goes before keys, and keys
 * before snapshots of the configuration. Entries that wait meanwhile share the next append, so a slow
 * log gets fewer and larger ones.
 */
export class PrioritizedLog implements LogPort {
  readonly #log: LogPort;
  readonly #waiting: WaitingAppend[] = [];
  #runningCount = 0;

  /** @param log - the platform's log */
  constructor(log: LogPort) {
    this.#log = log;
  }

  /** Appends that wait; a count. */
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
            this.#next();
          });
      };
      this.#waiting.push({ urgency: urgencyOf(stream), run });
      this.#next();
    });
  }

  read(stream: string, fromOffset: number, limit: number): Promise<LogPage> {
    return this.#log.read(stream, fromOffset, limit);
  }

  #next(): void {
    if (this.#runningCount >= CONCURRENCY || this.#waiting.length === 0) return;
    const least = Math.min(...this.#waiting.map(({ urgency }) => urgency));
    const at = this.#waiting.findIndex(({ urgency }) => urgency === least);
    const [next] = this.#waiting.splice(at, 1);
    this.#runningCount += 1;
    next.run();
  }
}
