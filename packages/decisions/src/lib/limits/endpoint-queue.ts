import type { QueueTicket } from './queue-ticket.js';

/** Each second of waiting is worth this many points of priority, so that nothing starves. */
const AGEING_POINTS_PER_SECOND = 2;
const MS_PER_SECOND = 1_000;
const QUEUE_COUNT_MAX = 1_000;

interface WaitingTicket {
  readonly ticket: QueueTicket;
  readonly sinceMs: number;
}

/** What became of a ticket on its arrival. */
type OfferVerdict = 'start' | 'wait' | 'full' | 'late';

/** The requests of one endpoint: those that run, and those that wait by priority and age. */
export class EndpointQueue {
  /** Requests that may run side by side. */
  limit: number;
  readonly #running = new Set<string>();
  #waiting: WaitingTicket[] = [];

  /** @param limit - requests that may run side by side */
  constructor(limit: number) {
    this.limit = limit;
  }

  /** Requests that run; a count. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Requests that wait; a count. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /**
   * Takes a new request.
   *
   * @param ticket - the request
   * @param nowMs - the owner's clock, in milliseconds
   * @returns whether it starts, waits, or is refused without having run
   */
  offer(ticket: QueueTicket, nowMs: number): OfferVerdict {
    if (nowMs > ticket.startByMs) return 'late';
    if (this.#running.size < this.limit && this.#waiting.length === 0) {
      this.#running.add(ticket.id);
      return 'start';
    }
    if (this.#waiting.length >= QUEUE_COUNT_MAX) return 'full';
    this.#waiting.push({ ticket, sinceMs: nowMs });
    return 'wait';
  }

  /**
   * Ends a request, wherever it is.
   *
   * @param id - the ticket's id
   */
  remove(id: string): void {
    this.#running.delete(id);
    this.#waiting = this.#waiting.filter(({ ticket }) => ticket.id !== id);
  }

  /**
   * Starts what may start now.
   *
   * @param nowMs - the owner's clock, in milliseconds
   * @returns tickets that start, and tickets whose time has passed and that never ran
   */
  advance(nowMs: number): { readonly started: QueueTicket[]; readonly late: QueueTicket[] } {
    const late = this.#waiting.filter(({ ticket }) => nowMs > ticket.startByMs);
    if (late.length > 0) {
      this.#waiting = this.#waiting.filter(({ ticket }) => nowMs <= ticket.startByMs);
    }
    const started: QueueTicket[] = [];
    while (this.#running.size < this.limit && this.#waiting.length > 0) {
      const next = this.#takeBest(nowMs);
      this.#running.add(next.id);
      started.push(next);
    }
    return { started, late: late.map(({ ticket }) => ticket) };
  }

  #takeBest(nowMs: number): QueueTicket {
    let bestIndex = 0;
    let bestScore = -Infinity;
    this.#waiting.forEach(({ ticket, sinceMs }, index) => {
      const waitedSeconds = (nowMs - sinceMs) / MS_PER_SECOND;
      const score = ticket.priority + waitedSeconds * AGEING_POINTS_PER_SECOND;
      if (score > bestScore) {
        bestIndex = index;
        bestScore = score;
      }
    });
    return this.#waiting.splice(bestIndex, 1)[0].ticket;
  }
}
