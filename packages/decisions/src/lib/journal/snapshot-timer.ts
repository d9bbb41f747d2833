/** Snapshots are due after this part of the log's retention. */
const DUE_SHARE = 0.25;
/** The due times of the instances spread over this part of it, so that one is usually enough. */
const SPREAD_SHARE = 0.125;

/**
 * Decides when to put a snapshot on a stream before its records expire. No instance is set aside for
 * it: the first whose time has come does it, and the others, who see that, wait anew.
 */
export class SnapshotTimer {
  readonly #retentionMs: number;
  readonly #unit: () => number;
  #dueMs: number;

  /**
   * @param retentionMs - how long the log keeps records, in milliseconds
   * @param unit - random numbers from 0 up to 1
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  constructor(retentionMs: number, unit: () => number, nowMs: number) {
    this.#retentionMs = retentionMs;
    this.#unit = unit;
    this.#dueMs = nowMs;
    this.seen(nowMs);
  }

  /** @param nowMs - when a snapshot was seen on the stream, whoever made it */
  seen(nowMs: number): void {
    const spread = SPREAD_SHARE * this.#unit();
    this.#dueMs = nowMs + this.#retentionMs * (DUE_SHARE + spread);
  }

  /**
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns whether to make a snapshot now; it counts as made
   */
  isDue(nowMs: number): boolean {
    if (nowMs < this.#dueMs) return false;
    this.seen(nowMs);
    return true;
  }
}
