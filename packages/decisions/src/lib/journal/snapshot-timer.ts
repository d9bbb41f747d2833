/** A snapshot is due after this fraction of the log's retention time. */
const DUE_FRACTION = 0.25;
/**
 * Additional random delay, as a fraction of the retention time. The instances' due times differ by
 * it, so that usually only one of them writes the snapshot.
 */
const SPREAD_FRACTION = 0.125;

/**
 * Decides when to write a snapshot to a stream, so that there is one before records expire. No
 * instance is elected for this: the first whose timer runs out writes the snapshot, and the others
 * restart their timers when they read it.
 */
export class SnapshotTimer {
  readonly #retentionMs: number;
  readonly #unit: () => number;
  #dueMs: number;

  /**
   * @param retentionMs - how long the log keeps records, in milliseconds
   * @param unit - source of random numbers from 0 (inclusive) to 1 (exclusive)
   * @param nowMs - monotonic clock, in milliseconds
   */
  constructor(retentionMs: number, unit: () => number, nowMs: number) {
    this.#retentionMs = retentionMs;
    this.#unit = unit;
    this.#dueMs = nowMs;
    this.restart(nowMs);
  }

  /**
   * Restarts the timer.
   *
   * @param nowMs - when a snapshot by any instance was read from the stream, in milliseconds
   */
  restart(nowMs: number): void {
    const spread = SPREAD_FRACTION * this.#unit();
    this.#dueMs = nowMs + this.#retentionMs * (DUE_FRACTION + spread);
  }

  /**
   * Checks whether a snapshot is due; if so, it also restarts the timer.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns whether the caller must write a snapshot now
   */
  isDue(nowMs: number): boolean {
    if (nowMs < this.#dueMs) return false;
    this.restart(nowMs);
    return true;
  }
}
