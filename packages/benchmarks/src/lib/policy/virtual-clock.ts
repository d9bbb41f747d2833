interface TimedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

const isBefore = (left: TimedEvent, right: TimedEvent): boolean =>
  left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

/** Virtual time: events run in order, and nothing else makes time pass. */
export class VirtualClock {
  nowMs = 0;
  readonly #heap: TimedEvent[] = [];
  #order = 0;

  /**
   * @param delayMs - time from now, in milliseconds
   * @param action - what happens then
   */
  after(delayMs: number, action: () => void): void {
    this.#order += 1;
    const event = { atMs: this.nowMs + Math.max(0, delayMs), order: this.#order, action };
    this.#heap.push(event);
    this.#rise(this.#heap.length - 1);
  }

  /** @param untilMs - time to run to, in milliseconds */
  run(untilMs: number): void {
    while (this.#heap.length > 0 && this.#heap[0].atMs <= untilMs) {
      const event = this.#heap[0];
      const last = this.#heap.pop() as TimedEvent;
      if (this.#heap.length > 0) {
        this.#heap[0] = last;
        this.#sink();
      }
      this.nowMs = event.atMs;
      event.action();
    }
    this.nowMs = untilMs;
  }

  #rise(start: number): void {
    let at = start;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(this.#heap[at], this.#heap[parent])) return;
      [this.#heap[at], this.#heap[parent]] = [this.#heap[parent], this.#heap[at]];
      at = parent;
    }
  }

  #sink(): void {
    const heap = this.#heap;
    let at = 0;
    for (;;) {
      const left = 2 * at + 1;
      const right = left + 1;
      let least = at;
      if (left < heap.length && isBefore(heap[left], heap[least])) least = left;
      if (right < heap.length && isBefore(heap[right], heap[least])) least = right;
      if (least === at) return;
      [heap[at], heap[least]] = [heap[least], heap[at]];
      at = least;
    }
  }
}
