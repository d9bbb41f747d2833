/** A request that waits. */
interface Waiter {
  readonly priority: number;
  readonly enter: () => void;
}

/**
 * Limits the number of requests that run at the same time. Of those that wait, the highest priority is
 * admitted first, and the earliest among equal priorities.
 */
export class PriorityGate {
  readonly #slotsMax: number;
  readonly #waiting: Waiter[] = [];
  #admittedCount = 0;

  /** @param slotsMax - maximum number of requests that run at the same time */
  constructor(slotsMax: number) {
    this.#slotsMax = slotsMax;
  }

  /** Number of requests that wait. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /**
   * Waits until a slot is free and takes it.
   *
   * @param priority - a higher number goes first
   */
  async enter(priority: number): Promise<void> {
    if (this.#admittedCount < this.#slotsMax) {
      this.#admittedCount += 1;
      return;
    }
    await new Promise<void>((enter) => {
      this.#waiting.push({ priority, enter });
    });
  }

  /** Frees a slot, which goes to the next waiting request, if any. */
  leave(): void {
    const highest = Math.max(...this.#waiting.map(({ priority }) => priority));
    const at = this.#waiting.findIndex(({ priority }) => priority === highest);
    if (at < 0) {
      this.#admittedCount -= 1;
      return;
    }
    const [next] = this.#waiting.splice(at, 1);
    next.enter();
  }
}
