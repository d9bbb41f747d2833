import type { QueueTicket } from './queue-ticket.js';

/** Priority points that a waiting request gains per second, so that none starves. */
const AGING_POINTS_PER_SECOND = 10;
/**
 * Priority points by which a caller with weight 1 that occupies all slots is lowered. For other
 * callers it is proportional to their slots divided by their weight.
 */
const FAIRNESS_POINTS = 20;
const MS_PER_SECOND = 1_000;
/** Number of waiting requests at which further ones are refused as `full`. */
const WAITING_COUNT_MAX = 1_000;
/** Fraction of the slots reserved for the highest priority seen within the last 10 s. */
const RESERVED_FRACTION = 0.1;
/** Slots are no longer reserved for a priority that was not seen for this long, in milliseconds. */
const TOP_PRIORITY_TTL_MS = 10_000;
/** Weight of one start in the moving average of the starts with the highest priority. */
const TOP_FRACTION_WEIGHT = 0.02;
/**
 * Number of standard deviations by which the expected wait is to exceed the mean, approximately.
 */
const WAIT_DEVIATIONS = 1;
/**
 * Fraction of the time until its latest start that a request below the highest priority may be
 * expected to wait; the rest is a margin for the error of the estimate.
 */
const WAIT_FRACTION_MAX = 0.3;

interface WaitingTicket {
  readonly ticket: QueueTicket;
  readonly sinceMs: number;
}

/** Result of {@link EndpointQueue.offer}; `full` and `late` are refusals. */
type OfferVerdict = 'start' | 'wait' | 'full' | 'late';

/**
 * The running and waiting requests of one endpoint. The next request to start is chosen by
 * priority, waiting time and fairness between callers. A request that is not expected to start in
 * time is refused on arrival instead of after waiting.
 */
export class EndpointQueue {
  /** Maximum number of concurrent requests, i.e. the number of slots. */
  limit: number;
  /** Mean run time of a request, in milliseconds; 0 while unknown. */
  serviceMs = 0;
  readonly #running = new Map<string, QueueTicket>();
  readonly #runningByCaller = new Map<string, number>();
  #waiting: WaitingTicket[] = [];
  #topPriority = 0;
  #topSeenMs = -Infinity;
  /** Moving average of the fraction of starts that had the highest priority. */
  #topStartFraction = 0;

  /** @param limit - maximum number of concurrent requests */
  constructor(limit: number) {
    this.limit = limit;
  }

  /** Number of running requests. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Number of waiting requests. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /**
   * Estimates how long a new request would wait; rather too long than too short.
   *
   * @param priority - priority of the request, 0 to 100
   * @returns the expected wait, in milliseconds
   */
  expectedWaitMs(priority: number): number {
    const slots = this.#slotCount(priority);
    const isAhead = ({ ticket }: WaitingTicket): boolean => ticket.priority >= priority;
    const ahead = this.#waiting.filter(isAhead).length;
    const position = this.#running.size + ahead + 1 - slots;
    if (position <= 0) return 0;
    // Mean time between the ends of two requests while all slots are in use.
    const endIntervalMs = this.serviceMs / this.limit;
    if (priority >= this.#topPriority) return position * endIntervalMs;
    // Freed slots go to the highest priority first, also to requests of it that arrive later. Only
    // the remaining fraction of the starts is left for this request; its lower bound keeps the
    // estimate finite.
    const freeFraction = Math.max(RESERVED_FRACTION, 1 - this.#topStartFraction);
    return ((position + WAIT_DEVIATIONS * Math.sqrt(position - 1)) * endIntervalMs) / freeFraction;
  }

  /**
   * Starts, queues or refuses a new request.
   *
   * @param ticket - the request
   * @param nowMs - the owner's clock, in milliseconds
   * @returns `start`: it runs now; `wait`: it is queued; `full`: refused, the queue is full;
   *   `late`: refused, it would start too late
   */
  offer(ticket: QueueTicket, nowMs: number): OfferVerdict {
    if (nowMs > ticket.startByMs) return 'late';
    this.#recordPriority(ticket.priority, nowMs);
    const isFirst = !this.#waiting.some((waiting) => waiting.ticket.priority >= ticket.priority);
    if (isFirst && this.#running.size < this.#slotCount(ticket.priority)) {
      this.#start(ticket);
      return 'start';
    }
    if (this.#waiting.length >= WAITING_COUNT_MAX) return 'full';
    if (this.expectedWaitMs(ticket.priority) > this.#waitBudgetMs(ticket, nowMs)) return 'late';
    this.#waiting.push({ ticket, sinceMs: nowMs });
    return 'wait';
  }

  /**
   * Removes a request, running or waiting.
   *
   * @param id - the ticket's id
   */
  remove(id: string): void {
    const running = this.#running.get(id);
    if (running) {
      this.#running.delete(id);
      this.#addToCaller(running.caller, -1);
      return;
    }
    this.#waiting = this.#waiting.filter(({ ticket }) => ticket.id !== id);
  }

  /**
   * Removes all waiting requests, so that they can be sent to other endpoints.
   *
   * @returns their tickets; none of them ran
   */
  removeWaiting(): QueueTicket[] {
    return this.#waiting.splice(0).map(({ ticket }) => ticket);
  }

  /**
   * Starts waiting requests while slots are free, and removes those whose latest start has passed.
   *
   * @param nowMs - the owner's clock, in milliseconds
   * @returns the tickets started, and the tickets removed as late, which never ran
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

  // Some slots are reserved for the highest priority, so that an interactive request does not have
  // to wait until one of many long answers has ended. The reservation ends when that priority has
  // not been seen for a while.
  #slotCount(priority: number): number {
    if (priority >= this.#topPriority) return this.limit;
    return Math.max(1, Math.floor(this.limit * (1 - RESERVED_FRACTION)));
  }

  #waitBudgetMs({ priority, startByMs }: QueueTicket, nowMs: number): number {
    const remainingMs = startByMs - nowMs;
    return priority >= this.#topPriority ? remainingMs : remainingMs * WAIT_FRACTION_MAX;
  }

  #recordPriority(priority: number, nowMs: number): void {
    const isExpired = nowMs - this.#topSeenMs > TOP_PRIORITY_TTL_MS;
    if (priority > this.#topPriority || isExpired) this.#topPriority = priority;
    if (priority === this.#topPriority) this.#topSeenMs = nowMs;
  }

  #start(ticket: QueueTicket): void {
    const isTop = ticket.priority >= this.#topPriority ? 1 : 0;
    this.#topStartFraction += TOP_FRACTION_WEIGHT * (isTop - this.#topStartFraction);
    this.#running.set(ticket.id, ticket);
    this.#addToCaller(ticket.caller, 1);
  }

  #addToCaller(caller: string, change: number): void {
    const count = (this.#runningByCaller.get(caller) ?? 0) + change;
    if (count > 0) this.#runningByCaller.set(caller, count);
    else this.#runningByCaller.delete(caller);
  }

  #takeBest(nowMs: number): QueueTicket | undefined {
    let bestIndex = -1;
    let bestScore = -Infinity;
    this.#waiting.forEach((waiting, index) => {
      if (this.#running.size >= this.#slotCount(waiting.ticket.priority)) return;
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
    const callerLoad = (this.#runningByCaller.get(ticket.caller) ?? 0) / this.limit / ticket.share;
    return ticket.priority + waitedSeconds * AGING_POINTS_PER_SECOND - callerLoad * FAIRNESS_POINTS;
  }
}
