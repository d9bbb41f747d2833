interface TimedEvent {
  readonly atMs: number;
  /** Serial number, to keep events of the same time in order. */
  readonly order: number;
  readonly action: () => void;
}

const isBefore = (left: TimedEvent, right: TimedEvent): boolean =>
  left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

/**
 * A clock of virtual time: it jumps from one scheduled event to the next. Events of the same time run
 * in the order in which they were scheduled.
 */
export class VirtualClock {
  nowMs = 0;
  /** Binary min-heap of the scheduled events. */
  readonly #heap: TimedEvent[] = [];
  #eventCount = 0;

  /**
   * Schedules an event.
   *
   * @param delayMs - time from now, in milliseconds
   * @param action - called at that time
   */
  after(delayMs: number, action: () => void): void {
    this.#eventCount += 1;
    const event = { atMs: this.nowMs + Math.max(0, delayMs), order: this.#eventCount, action };
    this.#heap.push(event);
    this.#siftUp(this.#heap.length - 1);
  }

  /**
   * Runs all events up to a time, including those that are scheduled meanwhile.
   *
   * @param untilMs - virtual time at the end, in milliseconds
   */
  run(untilMs: number): void {
    while (this.#heap.length > 0 && this.#heap[0].atMs <= untilMs) {
      const event = this.#heap[0];
      const last = this.#heap.pop() as TimedEvent;
      if (this.#heap.length > 0) {
        this.#heap[0] = last;
        this.#siftDown();
      }
      this.nowMs = event.atMs;
      event.action();
    }
    this.nowMs = untilMs;
  }

  #siftUp(start: number): void {
    let position = start;
    while (position > 0) {
      const parent = (position - 1) >> 1;
      if (!isBefore(this.#heap[position], this.#heap[parent])) return;
      [this.#heap[position], this.#heap[parent]] = [this.#heap[parent], this.#heap[position]];
      position = parent;
    }
  }

  #siftDown(): void {
    const heap = this.#heap;
    let position = 0;
    for (;;) {
      const left = 2 * position + 1;
      const right = left + 1;
      let first = position;
      if (left < heap.length && isBefore(heap[left], heap[first])) first = left;
      if (right < heap.length && isBefore(heap[right], heap[first])) first = right;
      if (first === position) return;
      [heap[position], heap[first]] = [heap[first], heap[position]];
      position = first;
    }
  }
}
