import type { HeldMemory } from './held-memory.js';
import type { MemoryBudget } from './memory-budget.js';

/** A body that waits to be read. */
interface WaitingBody {
  readonly bytes: number;
  readonly untilMs: number;
  readonly start: () => void;
  readonly refuse: () => void;
}

/** Longest time that a body waits unread, in milliseconds: callers leave soon after. */
const WAIT_MAX_MS = 800;
/** Number of bodies that wait unread at a time. */
const WAITING_COUNT_MAX = 256;

/**
 * Decides when bodies of requests are read. A body is read once all of it fits into the budget. Until then it stays
 * unread, so that TCP slows its sender down. The smallest waiting body is next; a body is refused when it has waited too
 * long, or is the largest one of too many.
 */
export class BodyAdmission<Kind extends string> {
  readonly #budget: MemoryBudget<Kind>;
  #waiting: WaitingBody[] = [];

  /** @param budget - what the bodies are held against */
  constructor(budget: MemoryBudget<Kind>) {
    this.#budget = budget;
  }

  /** Number of bodies that wait. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /**
   * Starts a body at once or queues it.
   *
   * @param bytes - its length, or what is to be held of it next if the length is not known, in bytes
   * @param held - the holding that it is added to
   * @param nowMs - current time of a monotonic clock, in milliseconds
   * @param actions - `start` is called once the bytes are held, `refuse` if that takes too long
   * @returns withdraws the body if it still waits
   */
  request(
    bytes: number,
    held: HeldMemory,
    nowMs: number,
    actions: { readonly start: () => void; readonly refuse: () => void },
  ): () => void {
    const start = (): void => {
      held.resize(held.bytes + bytes);
      actions.start();
    };
    if (!this.#budget.everFits(held.bytes + bytes)) {
      actions.refuse();
      return () => {};
    }
    if (this.#budget.fits(bytes)) {
      start();
      return () => {};
    }
    const waiting = { bytes, untilMs: nowMs + WAIT_MAX_MS, start, refuse: actions.refuse };
    this.#waiting.push(waiting);
    this.#waiting.sort((left, right) => left.bytes - right.bytes);
    if (this.#waiting.length > WAITING_COUNT_MAX) this.#waiting.pop()?.refuse();
    return () => {
      this.#waiting = this.#waiting.filter((other) => other !== waiting);
    };
  }

  /**
   * Starts the bodies that fit now, the smallest first, and refuses those that have waited for too long.
   *
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  tick(nowMs: number): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    const remaining = waiting.filter((body) => {
      if (this.#budget.fits(body.bytes)) body.start();
      else if (nowMs >= body.untilMs) body.refuse();
      else return true;
      return false;
    });
    this.#waiting = [...remaining, ...this.#waiting].sort(
      (left, right) => left.bytes - right.bytes,
    );
  }
}
