import type { WaitingRequest } from './waiting-request.js';

/** A waiting request with its rank within its priority, in milliseconds. */
interface Ranked<T> {
  readonly request: T;
  readonly rankMs: number;
}

/**
 * Orders waiting requests so that what is served late or not at all costs callers least: by priority, and within a
 * priority by the end of the latency objective. A request with more work delays the others longer, and goes as if
 * its objective ended later by that work, and once more by it for each request of its own group that waits already: a
 * surge of one group delays that group.
 *
 * An insertion takes a binary search; requests that have missed their objective are told apart only when the order
 * is read, since that changes with time.
 */
export class WaitingOrder<T extends WaitingRequest> {
  readonly #ranked: Ranked<T>[] = [];
  readonly #requests = new Set<T>();
  /** Number of requests that wait, by priority and group. */
  readonly #groupCounts = new Map<string, number>();

  /** Number of requests. */
  get size(): number {
    return this.#ranked.length;
  }

  /** All requests, in no particular order. */
  get requests(): readonly T[] {
    return [...this.#requests];
  }

  /** @param request - a request that waits from now on */
  add(request: T): void {
    const rankMs = this.#rankMs(request);
    const { priority } = request;
    let low = 0;
    let high = this.#ranked.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      const other = this.#ranked[middle];
      const isBefore =
        other.request.priority < priority ||
        (other.request.priority === priority && other.rankMs <= rankMs);
      if (isBefore) low = middle + 1;
      else high = middle;
    }
    this.#ranked.splice(low, 0, { request, rankMs });
    this.#requests.add(request);
    this.#countInGroup(request, 1);
  }

  /**
   * @param request - a request that no longer waits
   * @returns whether it was among those that wait
   */
  remove(request: T): boolean {
    if (!this.#requests.delete(request)) return false;
    const index = this.#ranked.findIndex((ranked) => ranked.request === request);
    this.#ranked.splice(index, 1);
    this.#countInGroup(request, -1);
    return true;
  }

  /** @returns whether a request is among those that wait */
  has(request: T): boolean {
    return this.#requests.has(request);
  }

  /** Removes all requests. */
  clear(): void {
    this.#ranked.length = 0;
    this.#requests.clear();
    this.#groupCounts.clear();
  }

  /**
   * @param nowMs - current time of a monotonic clock, in milliseconds
   * @returns the requests in the order in which they should be served: within a priority, those that can still meet
   *   their objective before those that have missed it
   */
  inOrder(nowMs: number): T[] {
    const ordered: T[] = [];
    let late: T[] = [];
    let priority: number | undefined;
    this.#ranked.forEach(({ request }) => {
      if (request.priority !== priority) {
        ordered.push(...late);
        late = [];
        priority = request.priority;
      }
      if (nowMs + request.startMs <= request.dueMs) ordered.push(request);
      else late.push(request);
    });
    return ordered.concat(late);
  }

  #rankMs(request: T): number {
    const groupCount = this.#groupCounts.get(WaitingOrder.#keyOf(request)) ?? 0;
    return request.dueMs + request.workMs * (1 + groupCount);
  }

  #countInGroup(request: T, change: number): void {
    const key = WaitingOrder.#keyOf(request);
    const count = (this.#groupCounts.get(key) ?? 0) + change;
    if (count > 0) this.#groupCounts.set(key, count);
    else this.#groupCounts.delete(key);
  }

  static #keyOf({ priority, group }: WaitingRequest): string {
    return `${priority} ${group}`;
  }
}
