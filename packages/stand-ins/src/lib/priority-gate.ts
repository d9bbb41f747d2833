interface Waiter {
  readonly priority: number;
  readonly enter: () => void;
}

/** Lets a number of requests in at once; of those that wait, the highest priority goes first. */
export class PriorityGate {
  readonly #places: number;
  readonly #waiting: Waiter[] = [];
  #insideCount = 0;

  /** @param places - requests inside at once; a count */
  constructor(places: number) {
    this.#places = places;
  }

  /** Requests that wait; a count. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /**
   * Waits for a place.
   *
   * @param priority - more goes first
   */
  async enter(priority: number): Promise<void> {
    if (this.#insideCount < this.#places) {
      this.#insideCount += 1;
      return;
    }
    await new Promise<void>((enter) => {
      this.#waiting.push({ priority, enter });
    });
  }

  /** Gives the place up, to the next that waits. */
  leave(): void {
    const highest = Math.max(...this.#waiting.map(({ priority }) => priority));
    const at = this.#waiting.findIndex(({ priority }) => priority === highest);
    if (at < 0) {
      this.#insideCount -= 1;
      return;
    }
    const [next] = this.#waiting.splice(at, 1);
    next.enter();
  }
}
