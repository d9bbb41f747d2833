/** A request that waits for an endpoint. */
export interface Waiter {
  /** Rank of its route, 0 first. */
  readonly priority: number;
  /** Model that it needs, if it needs one. */
  readonly model?: string;
  /** When it is no longer worth waiting, in milliseconds. */
  readonly untilMs: number;
  /** @returns whether the request was sent and waits no more */
  readonly tryNow: () => boolean;
  /** Told once when waiting has become pointless. */
  readonly giveUp: () => void;
}

/** Requests that wait for a place, the most urgent first and then the longest waiting. */
export class WaitingLine {
  #waiters: Waiter[] = [];

  /** Requests that wait; a count. */
  get size(): number {
    return this.#waiters.length;
  }

  /** Models that requests wait for. */
  get models(): readonly string[] {
    return this.#waiters.flatMap(({ model }) => model ?? []);
  }

  /** @param waiter - a request that starts to wait */
  add(waiter: Waiter): void {
    const at = this.#waiters.findIndex(({ priority }) => priority > waiter.priority);
    if (at < 0) this.#waiters.push(waiter);
    else this.#waiters.splice(at, 0, waiter);
  }

  /** Lets go of all: nothing will become free for them here. */
  clear(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach((waiter) => waiter.giveUp());
  }

  /** @param waiter - a request whose caller has gone */
  remove(waiter: Waiter): void {
    this.#waiters = this.#waiters.filter((other) => other !== waiter);
  }

  /**
   * Offers places that may have become free, and lets go of those who have waited too long.
   *
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  pump(nowMs: number): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    const kept: Waiter[] = [];
    waiters.forEach((waiter) => {
      if (waiter.tryNow()) return;
      if (nowMs >= waiter.untilMs) waiter.giveUp();
      else kept.push(waiter);
    });
    // Requests that began to wait meanwhile stand behind those of the same rank.
    const added = this.#waiters;
    this.#waiters = kept;
    added.forEach((waiter) => this.add(waiter));
  }
}
