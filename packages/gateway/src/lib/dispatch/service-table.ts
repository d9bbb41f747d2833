import {
  AnswerTimes,
  HoldTime,
  PriorityMix,
  SharedRetryBudget,
  WaitQueue,
} from '@chervilseam/decisions';
import { getOrCreate } from '../get-or-create.js';

/**
 * Holds the queue of waiting requests, the retry budget, the priorities in use and the hold time of each service, and
 * the answer times of each route.
 */
export class ServiceTable {
  readonly #bounds: ConstructorParameters<typeof SharedRetryBudget>[0];
  readonly #queues = new Map<string, WaitQueue>();
  readonly #retryBudgets = new Map<string, SharedRetryBudget>();
  readonly #holdTimes = new Map<string, HoldTime>();
  readonly #priorityMixes = new Map<string, PriorityMix>();
  readonly #answerTimes = new Map<string, AnswerTimes>();

  /** @param bounds - bounds of the retry budgets, over all instances */
  constructor(bounds: ConstructorParameters<typeof SharedRetryBudget>[0]) {
    this.#bounds = bounds;
  }

  /** Number of requests that wait, over all services. */
  get waitingCount(): number {
    return [...this.#queues.values()].reduce((sum, { size }) => sum + size, 0);
  }

  /** Models that requests wait for because no engine can serve them. */
  get awaitedModels(): readonly string[] {
    return [...new Set([...this.#queues.values()].flatMap(({ models }) => models))];
  }

  /** @returns the queue of a service; created on first use */
  queue(service: string): WaitQueue {
    return getOrCreate(this.#queues, service, () => new WaitQueue());
  }

  /** @returns the retry budget of a service; created on first use */
  retryBudget(service: string): SharedRetryBudget {
    return getOrCreate(this.#retryBudgets, service, () => new SharedRetryBudget(this.#bounds));
  }

  /** @returns how long requests occupy the endpoints of a service; created on first use */
  holdTime(service: string): HoldTime {
    return getOrCreate(this.#holdTimes, service, () => new HoldTime());
  }

  /** @returns the priorities that callers of a service use; created on first use */
  priorityMix(service: string): PriorityMix {
    return getOrCreate(this.#priorityMixes, service, () => new PriorityMix());
  }

  /** @returns how long the answers of a route took; created on first use */
  answerTimes(route: string): AnswerTimes {
    return getOrCreate(this.#answerTimes, route, () => new AnswerTimes());
  }

  /** @param routes - names of the routes in force; what is known of others is forgotten */
  keepRoutes(routes: readonly string[]): void {
    const kept = new Set(routes);
    this.#answerTimes.forEach((_, route) => {
      if (!kept.has(route)) this.#answerTimes.delete(route);
    });
  }

  /** Tries to send the waiting requests, and ends those that have waited too long. */
  dispatchQueued(nowMs: number): void {
    this.#queues.forEach((queue) => queue.dispatchWaiting(nowMs));
  }

  /** Empties the queues; every waiting request fails. */
  clear(): void {
    this.#queues.forEach((queue) => queue.clear());
  }
}
