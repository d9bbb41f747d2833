import type { QueueTicket } from './queue-ticket.js';

/** Each second of waiting is worth this many points of priority, so that nothing starves. */
const AGEING_POINTS_PER_SECOND = 10;
/** A caller that holds all running places for a share of 1 is set back by this many points. */
const SHARE_POINTS = 20;
const MS_PER_SECOND = 1_000;
const QUEUE_COUNT_MAX = 1_000;
/** Share of the places kept free for the highest priority seen of late. */
const RESERVED_SHARE = 0.1;
/** A priority not seen for this long reserves nothing, in milliseconds. */
const TOP_MEMORY_MS = 10_000;
const TOP_SHARE_WEIGHT = 0.02;
/** Waits are expected to be longer than the mean by about this many standard deviations. */
const CAUTION = 1;
/** Share of the time left that a request may be expected to wait; the rest is for the unexpected. */
const WAIT_SHARE = 0.3;

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
  #topPriority = 0;
  #topSeenMs = -Infinity;
  /** Share of the starts that went to the highest priority. */
  #topShare = 0;

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
   * Expects how long a new request would wait, on the cautious side.
   *
   * @param priority - its priority
   * @returns the expected wait, in milliseconds
   */
  expectedWaitMs(priority: number): number {
    const places = this.#places(priority);
    const isAhead = ({ ticket }: WaitingTicket): boolean => ticket.priority >= priority;
    const ahead = this.#waiting.filter(isAhead).length;
    const position = this.#running.size + ahead + 1 - places;
    if (position <= 0) return 0;
    const gapMs = this.serviceMs / this.limit;
    if (priority >= this.#topPriority) return position * gapMs;
    // Places that come free go to the highest priority first, also to those yet to arrive.
    const left = Math.max(RESERVED_SHARE, 1 - this.#topShare);
    return ((position + CAUTION * Math.sqrt(position - 1)) * gapMs) / left;
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
    this.#notePriority(ticket.priority, nowMs);
    const isFirst = !this.#waiting.some((waiting) => waiting.ticket.priority >= ticket.priority);
    if (isFirst && this.#running.size < this.#places(ticket.priority)) {
      this.#start(ticket);
      return 'start';
    }
    if (this.#waiting.length >= QUEUE_COUNT_MAX) return 'full';
    if (this.expectedWaitMs(ticket.priority) > this.#waitBudgetMs(ticket, nowMs)) return 'late';
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
   * Gives up all that waits, to be tried elsewhere.
   *
   * @returns the tickets, none of which ran
   */
  takeWaiting(): QueueTicket[] {
    return this.#waiting.splice(0).map(({ ticket }) => ticket);
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
    for (let next = this.#takeBest(nowMs); next; next = this.#takeBest(nowMs)) {
      this.#start(next);
      started.push(next);
    }
    return { started, late: late.map(({ ticket }) => ticket) };
  }

  // A few places stay free for the highest priority, so that someone at a counter need not wait for
  // one of many long answers to end. They are given up once that priority is no longer seen.
  #places(priority: number): number {
    if (priority >= this.#topPriority) return this.limit;
    return Math.max(1, Math.floor(this.limit * (1 - RESERVED_SHARE)));
  }

  #waitBudgetMs({ priority, startByMs }: QueueTicket, nowMs: number): number {
    const leftMs = startByMs - nowMs;
    return priority >= this.#topPriority ? leftMs : leftMs * WAIT_SHARE;
  }

  #notePriority(priority: number, nowMs: number): void {
    const isForgotten = nowMs - this.#topSeenMs > TOP_MEMORY_MS;
    if (priority > this.#topPriority || isForgotten) this.#topPriority = priority;
    if (priority === this.#topPriority) this.#topSeenMs = nowMs;
  }

  #start(ticket: QueueTicket): void {
    const isTop = ticket.priority >= this.#topPriority ? 1 : 0;
    this.#topShare += TOP_SHARE_WEIGHT * (isTop - this.#topShare);
    this.#running.set(ticket.id, ticket);
    this.#countCaller(ticket.caller, 1);
  }

  #countCaller(caller: string, change: number): void {
    const count = (this.#runningByCaller.get(caller) ?? 0) + change;
    if (count > 0) this.#runningByCaller.set(caller, count);
    else this.#runningByCaller.delete(caller);
  }

  #takeBest(nowMs: number): QueueTicket | undefined {
    let bestIndex = -1;
    let bestScore = -Infinity;
    this.#waiting.forEach((waiting, index) => {
      if (this.#running.size >= this.#places(waiting.ticket.priority)) return;
      const score = this.#score(waiting, nowMs);
      if (score > bestScore) {
        bestIndex = index;
        bestScore = score;
      }
    });
    return bestIndex < 0 ? undefined : this.#waiting.splice(bestIndex, 1)[0].ticket;
  }

  #score({ ticket, sinceMs }: WaitingTicket, nowMs: number): number {
    const waitedSeconds = (nowMs - sinceMs) / MS_PER_SECOND;
    const held = (this.#runningByCaller.get(ticket.caller) ?? 0) / this.limit / ticket.share;
    return ticket.priority + waitedSeconds * AGEING_POINTS_PER_SECOND - held * SHARE_POINTS;
  }
}
