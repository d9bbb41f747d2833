/** A queued request. */
export interface Waiter {
  /** Priority of its route; 0 is served first. */
  readonly priority: number;
  /** Model that it waits for, if it waits for one. */
  readonly model?: string;
  /** Monotonic time at which the wait ends, in milliseconds. */
  readonly untilMs: number;
  /**
   * @returns whether the request leaves the queue: it was dispatched, refused, or its adapter is
   *   being loaded
   */
  readonly tryDispatch: () => boolean;
  /** Called when the request is dropped, since its wait has ended or the queue was cleared. */
  readonly onDropped: () => void;
}

/** A queue of requests that wait for an endpoint, ordered by priority and then by arrival. */
export class WaitQueue {
  #waiters: Waiter[] = [];

  /** Number of queued requests. */
  get size(): number {
    return this.#waiters.length;
  }

  /** Models that queued requests wait for, once for each request. */
  get models(): readonly string[] {
    return this.#waiters.flatMap(({ model }) => model ?? []);
  }

  /** @param waiter - the request to queue */
  add(waiter: Waiter): void {
    const index = this.#waiters.findIndex(({ priority }) => priority > waiter.priority);
    if (index < 0) this.#waiters.push(waiter);
    else this.#waiters.splice(index, 0, waiter);
  }

  /** Drops all queued requests: no endpoint will become available for them. */
  clear(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach((waiter) => waiter.onDropped());
  }

  /** @param waiter - a request whose caller has disconnected */
  remove(waiter: Waiter): void {
    this.#waiters = this.#waiters.filter((other) => other !== waiter);
  }

  /**
   * Tries to dispatch every queued request in order, and drops those whose wait has ended.
   *
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  dispatchWaiting(nowMs: number): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    const remaining: Waiter[] = [];
    waiters.forEach((waiter) => {
      if (waiter.tryDispatch()) return;
      if (nowMs >= waiter.untilMs) waiter.onDropped();
      else remaining.push(waiter);
    });
    // Requests that were queued meanwhile go behind those of the same priority.
    const added = this.#waiters;
    this.#waiters = remaining;
    added.forEach((waiter) => this.add(waiter));
  }
}
