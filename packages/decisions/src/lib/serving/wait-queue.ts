import { WaitingOrder } from './waiting-order.js';
import type { WaitingRequest } from './waiting-request.js';

/** Number of failed attempts for a lane after which a scan skips its other requests. */
const LANE_FAILURES_MAX = 3;
/** Number of requests served from the queue after which the one that has waited longest is tried first. */
const TURN_COUNT = 8;

/** A queued request. */
export interface Waiter extends WaitingRequest {
  /**
   * What an endpoint must hold to serve it, such as a model. Requests of one lane can be served by the same
   * endpoints.
   */
  readonly lane: string;
  /** Model that it waits for, if it waits for one. */
  readonly model?: string;
  /** Monotonic time at which it was queued, in milliseconds. */
  readonly sinceMs: number;
  /** Monotonic time at which the wait ends, in milliseconds. */
  readonly untilMs: number;
  /**
   * @param aheadCount - number of requests of its lane that failed to be dispatched before it in this scan
   * @returns whether the request leaves the queue: it was dispatched, refused, or its adapter is
   *   being loaded
   */
  readonly tryDispatch: (aheadCount: number) => boolean;
  /** Called when the request is dropped, since its wait has ended or the queue was cleared. */
  readonly onDropped: () => void;
}

/**
 * A queue of requests that wait for an endpoint. A scan tries a few requests of each lane at most: while hundreds wait
 * for one model, its cost follows the number of models.
 */
export class WaitQueue {
  readonly #order = new WaitingOrder<Waiter>();
  /** Number of requests that wait for a place, by lane; those that wait for a model are not counted. */
  readonly #placeCounts = new Map<string, number>();
  /** Number of requests served since the one that had waited longest was tried first. */
  #servedCount = 0;

  /** Number of queued requests. */
  get size(): number {
    return this.#order.size;
  }

  /** Models that queued requests wait for, once for each request. */
  get models(): readonly string[] {
    return this.#order.requests.flatMap(({ model }) => model ?? []);
  }

  /** @param waiter - the request to queue */
  add(waiter: Waiter): void {
    this.#order.add(waiter);
    this.#countPlace(waiter, 1);
  }

  /** Drops all queued requests: no endpoint will become available for them. */
  clear(): void {
    const waiters = this.#order.requests;
    this.#order.clear();
    this.#placeCounts.clear();
    waiters.forEach((waiter) => waiter.onDropped());
  }

  /** @param waiter - a request whose caller has disconnected */
  remove(waiter: Waiter): void {
    if (this.#order.remove(waiter)) this.#countPlace(waiter, -1);
  }

  /**
   * Tries to dispatch the queued requests in order, and drops those whose wait has ended.
   *
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  dispatchWaiting(nowMs: number): void {
    if (this.size === 0) return;
    this.#scan(this.#inTurn(nowMs), nowMs);
  }

  /**
   * Tries the requests that wait for a place and go before a new one that the same endpoints can serve.
   *
   * @param request - the new request, which is not queued
   * @param lane - its lane
   * @param nowMs - current time of a monotonic clock, in milliseconds
   * @returns number of requests that still wait before the new one
   */
  dispatchAhead(request: WaitingRequest, lane: string, nowMs: number): number {
    if (!this.#placeCounts.has(lane)) return 0;
    const ahead = this.#order
      .inOrder(nowMs)
      .filter((waiter) => waiter.lane === lane && waiter.model === undefined)
      .filter(({ priority, dueMs, startMs }) => {
        if (priority !== request.priority) return priority < request.priority;
        return nowMs + startMs <= dueMs && dueMs <= request.dueMs;
      });
    this.#scan(ahead, nowMs);
    return ahead.filter((waiter) => this.#order.has(waiter)).length;
  }

  #scan(waiters: readonly Waiter[], nowMs: number): void {
    const failures = new Map<string, number>();
    waiters.forEach((waiter) => {
      // An earlier attempt of the scan may have ended it.
      if (!this.#order.has(waiter)) return;
      const failureCount = failures.get(waiter.lane) ?? 0;
      if (failureCount < LANE_FAILURES_MAX && waiter.tryDispatch(failureCount)) {
        this.#servedCount += 1;
        this.remove(waiter);
        return;
      }
      failures.set(waiter.lane, failureCount + 1);
      if (nowMs < waiter.untilMs) return;
      this.remove(waiter);
      waiter.onDropped();
    });
  }

  // The queued requests in order; from time to time the one that has waited longest for a place goes first, so that no
  // group is passed over for good.
  #inTurn(nowMs: number): Waiter[] {
    const waiters = this.#order.inOrder(nowMs);
    if (this.#servedCount < TURN_COUNT) return waiters;
    this.#servedCount = 0;
    const waitingForPlace = waiters.filter(({ model }) => model === undefined);
    if (waitingForPlace.length < 2) return waiters;
    const longest = waitingForPlace.reduce((one, other) =>
      other.sinceMs < one.sinceMs ? other : one,
    );
    return [longest, ...waiters.filter((waiter) => waiter !== longest)];
  }

  #countPlace({ lane, model }: Waiter, change: number): void {
    if (model !== undefined) return;
    const count = (this.#placeCounts.get(lane) ?? 0) + change;
    if (count > 0) this.#placeCounts.set(lane, count);
    else this.#placeCounts.delete(lane);
  }
}
