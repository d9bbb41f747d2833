/** Change of the offset between the clocks from which the process counts as suspended, in milliseconds. */
const SUSPENSION_DRIFT_MS = 120;

/**
 * Notices that the process was suspended: its monotonic clock stops then, and the wall clock does not. Setting the wall
 * clock looks the same.
 */
export class SuspensionWatch {
  #offsetMs: number;

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @param wallMs - wall clock, in milliseconds
   */
  constructor(nowMs: number, wallMs: number) {
    this.#offsetMs = wallMs - nowMs;
  }

  /** Wall clock minus monotonic clock at the last check, in milliseconds. */
  get offsetMs(): number {
    return this.#offsetMs;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @param wallMs - wall clock, in milliseconds
   * @returns change of their offset since the last check, in milliseconds; `undefined` if the process was not suspended
   */
  check(nowMs: number, wallMs: number): number | undefined {
    const driftMs = wallMs - nowMs - this.#offsetMs;
    this.#offsetMs += driftMs;
    return Math.abs(driftMs) < SUSPENSION_DRIFT_MS ? undefined : driftMs;
  }

  /**
   * @param offsetMs - offset of the clocks at an earlier check, in milliseconds
   * @returns whether the process was not suspended between that check and the last one
   */
  isUnchangedSince(offsetMs: number): boolean {
    return Math.abs(this.#offsetMs - offsetMs) < SUSPENSION_DRIFT_MS;
  }
}
