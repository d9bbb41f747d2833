/**
 * Time for which a late timer counts after it has run, in milliseconds: a connection that waited to be
 * accepted is read one turn of the event loop later.
 */
const RETENTION_MS = 100;

/**
 * Measures by a periodic timer how far the event loop is behind: that long may bytes that are read now
 * have waited in their sockets.
 */
export class EventLoopLag {
  readonly #periodMs: number;
  #dueMs = Infinity;
  #lateMs = 0;
  #lateAtMs = -Infinity;

  /** @param periodMs - period of the timer, in milliseconds */
  constructor(periodMs: number) {
    this.#periodMs = periodMs;
  }

  /**
   * To be called first when the timer runs.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns how late the timer is, in milliseconds
   */
  tick(nowMs: number): number {
    const lateMs = Math.max(0, nowMs - this.#dueMs);
    this.#dueMs = nowMs + this.#periodMs;
    this.#lateMs = lateMs;
    this.#lateAtMs = nowMs;
    return lateMs;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns longest time that bytes read now may have waited to be read, in milliseconds
   */
  lagMs(nowMs: number): number {
    const overdueMs = Math.max(0, nowMs - this.#dueMs);
    return nowMs < this.#lateAtMs + RETENTION_MS ? Math.max(overdueMs, this.#lateMs) : overdueMs;
  }
}
