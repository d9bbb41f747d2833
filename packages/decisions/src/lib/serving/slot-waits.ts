/**
 * Time without a request after which an item's callers have given up, in milliseconds: those who still wait ask again
 * within 700 ms.
 */
const FORGET_MS = 1_000;

interface SlotWait {
  readonly sinceMs: number;
  readonly askedMs: number;
}

/** Items that were asked for while no slot was free, such as the adapters of an engine. */
export class SlotWaits {
  readonly #waits = new Map<string, SlotWait>();

  /**
   * Records that an item was asked for, and forgets those that no longer are.
   *
   * @param item - the item
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  ask(item: string, nowMs: number): void {
    this.#waits.forEach(({ askedMs }, other) => {
      if (nowMs > askedMs + FORGET_MS) this.#waits.delete(other);
    });
    const sinceMs = this.#waits.get(item)?.sinceMs ?? nowMs;
    this.#waits.set(item, { sinceMs, askedMs: nowMs });
  }

  /** @param item - an item that has got a slot */
  end(item: string): void {
    this.#waits.delete(item);
  }

  /**
   * @param nowMs - current time of the same clock, in milliseconds
   * @returns the item that has waited longest, if any, and for how long, in milliseconds
   */
  longest(nowMs: number): { readonly item: string; readonly waitedMs: number } | undefined {
    const [first] = [...this.#waits].sort(([, left], [, right]) => left.sinceMs - right.sinceMs);
    return first && { item: first[0], waitedMs: nowMs - first[1].sinceMs };
  }
}
