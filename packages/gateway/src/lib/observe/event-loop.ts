import { EventLoopLag } from './event-loop-lag.js';

/** Lag from which bytes of callers, among them closes, may wait unread for too long, in milliseconds. */
const STALL_MS = 100;
/** Greatest number of slow turns of the event loop in a row that a callback is put off for. */
const SLOW_TURNS_MAX = 3;

/** The event loop as an instance's decisions see it: whether what they rely on may be outdated. */
export class EventLoop {
  readonly #nowMs: () => number;
  readonly #lag: EventLoopLag;

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @param tickMs - period in which `tick` is called, in milliseconds
   */
  constructor(nowMs: () => number, tickMs: number) {
    this.#nowMs = nowMs;
    this.#lag = new EventLoopLag(tickMs);
  }

  /** Longest time that bytes read now may have waited to be read, in milliseconds. */
  get lagMs(): number {
    return this.#lag.lagMs(this.#nowMs());
  }

  /** Whether closes of callers may have waited for so long that they have to be read before a decision. */
  get isStalled(): boolean {
    return this.lagMs > STALL_MS;
  }

  /**
   * To be called periodically, before the other periodic work.
   *
   * @returns how late the call is, in milliseconds
   */
  tick(): number {
    return this.#lag.tick(this.#nowMs());
  }

  /**
   * Calls back once what had arrived before this call has been read.
   *
   * @param callback - called in a later turn of the event loop
   * @param slowTurnsLeft - number of further turns to put the call off for while they are slow
   */
  afterPoll(callback: () => void, slowTurnsLeft = SLOW_TURNS_MAX): void {
    const startMs = this.#nowMs();
    // An immediate runs after the sockets of its own turn were polled, which may be under way now; the
    // second one runs after those of the next turn.
    setImmediate(() =>
      setImmediate(() => {
        const isSlow = this.#nowMs() - startMs > STALL_MS;
        if (isSlow && slowTurnsLeft > 1) this.afterPoll(callback, slowTurnsLeft - 1);
        else callback();
      }),
    );
  }
}
