import type { QueueTicket } from './queue-ticket.js';

/** Each second of waiting is worth this many points of priority, so that nothing starves. */
const AGEING_POINTS_PER_SECOND = 10;
/** A caller that holds all running places for a share of 1 is set back by this many points. */
const SHARE_POINTS = 20;
const MS_PER_SECOND = 1_000;
const QUEUE_COUNT_MAX = 1_000;

interface WaitingTicket {
  readonly ticket: QueueTicket;
  readonly sinceMs: number;
}

/** What became of a ticket on its arrival. */
type OfferVerdict = 'start' | 'wait' | 'full' | 'late';

/**
 * The requests of one endpoint: those that run, and those that wait by priority, age and fair share
 * between callers. A request that cannot start in time is refused on arrival, not after waiting.
 */
export class EndpointQueue {
  /** Requests that may run side by side. */
  limit: number;
  /** Mean time that a request runs, in milliseconds; 0 while unknown. */
  serviceMs = 0;
  readonly #running = new Map<string, QueueTicket>();
  readonly #runningByCaller = new Map<string, number>();
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
   * Expects how long a new request would wait.
   *
   * @param priority - its priority
   * @returns the expected wait, in milliseconds
   */
  expectedWaitMs(priority: number): number {
    const free = this.limit - this.#running.size - this.#waiting.length;
    if (free > 0) return 0;
    const isAhead = ({ ticket }: WaitingTicket): boolean => ticket.priority >= priority;
    const ahead = this.#waiting.filter(isAhead).length;
    const excess = Math.max(0, this.#running.size - this.limit);
    return ((ahead + excess + 1) * this.serviceMs) / this.limit;
  }

  /**
   * Takes a new request.
   *
   * @param ticket - the request
   * @param nowMs - the owner's clock, in milliseconds
   * @returns whether it starts, waits, or is refused without having run
   */
  offer(ticket: QueueTicket, nowMs: number): OfferVerdict {
    const isFree = this.#running.size < this.limit && this.#waiting.length === 0;
    if (nowMs > ticket.startByMs) return 'late';
    if (isFree) {
      this.#start(ticket);
      return 'start';
    }
    if (this.#waiting.length >= QUEUE_COUNT_MAX) return 'full';
    if (nowMs + this.expectedWaitMs(ticket.priority) > ticket.startByMs) return 'late';
    this.#waiting.push({ ticket, sinceMs: nowMs });
    return 'wait';
  }

  /**
   * Ends a request, wherever it is.
   *
   * @param id - the ticket's id
   */
  remove(id: string): void {
    const running = this.#running.get(id);
    if (running) {
      this.#running.delete(id);
      this.#countCaller(running.caller, -1);
      return;
    }
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
      this.#start(next);
      started.push(next);
    }
    return { started, late: late.map(({ ticket }) => ticket) };
  }

  #start(ticket: QueueTicket): void {
    this.#running.set(ticket.id, ticket);
    this.#countCaller(ticket.caller, 1);
  }

  #countCaller(caller: string, change: number): void {
    const count = (this.#runningByCaller.get(caller) ?? 0) + change;
    if (count > 0) this.#runningByCaller.set(caller, count);
    else this.#runningByCaller.delete(caller);
  }

  #takeBest(nowMs: number): QueueTicket {
    let bestIndex = 0;
    let bestScore = -Infinity;
    this.#waiting.forEach((waiting, index) => {
      const score = this.#score(waiting, nowMs);
      if (score > bestScore) {
        bestIndex = index;
        bestScore = score;
      }
    });
    return this.#waiting.splice(bestIndex, 1)[0].ticket;
  }

  #score({ ticket, sinceMs }: WaitingTicket, nowMs: number): number {
    const waitedSeconds = (nowMs - sinceMs) / MS_PER_SECOND;
    const held = (this.#runningByCaller.get(ticket.caller) ?? 0) / this.limit / ticket.share;
    return ticket.priority + waitedSeconds * AGEING_POINTS_PER_SECOND - held * SHARE_POINTS;
  }
}
