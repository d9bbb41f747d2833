/** Time that the load balancer needs to take an instance out of rotation, in milliseconds. */
const ROTATION_MS = 2_600;
/**
 * Time after the start of a shutdown in which requests are still accepted, in milliseconds: at most, and as a
 * share of the grace period.
 */
const ACCEPT_MAX_MS = 2_800;
const ACCEPT_SHARE = 0.5;
/** Time left unused at the end of the grace period: at most, in milliseconds, and as a share of that period. */
const GRACE_MARGIN_MS = 700;
const GRACE_MARGIN_SHARE = 0.09;
/** Time before the end of a shutdown in which queued requests are refused, in milliseconds. */
const REFUSE_QUEUED_MS = 1_000;
/**
 * Time before the end of a shutdown that the answers to all open requests need: at most, in milliseconds, and as a
 * share of the grace period.
 */
const FINAL_ANSWERS_MS = 250;
const FINAL_ANSWERS_SHARE = 0.045;

/** Longest time that the signal may have waited to be handled, as a share of the grace period. */
const LAG_MAX_SHARE = 0.25;

/** When the steps of a planned stop are due, by the monotonic clock, in milliseconds. */
export class ShutdownTimes {
  readonly startMs: number;
  /** From then on the load balancer sends no new connections, and idle ones are closed. */
  readonly outOfRotationMs: number;
  /** Until then new requests are accepted. */
  readonly acceptUntilMs: number;
  /** From then on queued requests are refused. */
  readonly refuseQueuedMs: number;
  /** The requests that are still open are answered. */
  readonly finalAnswersMs: number;
  /** The process exits. */
  readonly endMs: number;

  /**
   * @param nowMs - when the signal to stop is handled
   * @param lagMs - how late the event loop is: for so long the signal may have waited, and the time until the
   *   process is killed runs since then, in milliseconds
   * @param graceMs - time from the signal until the process is killed, in milliseconds
   * @returns the times of the stop
   */
  static sinceSignal(nowMs: number, lagMs: number, graceMs: number): ShutdownTimes {
    return new ShutdownTimes(nowMs - Math.min(lagMs, LAG_MAX_SHARE * graceMs), graceMs);
  }

  /**
   * @param startMs - when the stop was asked for
   * @param graceMs - time until the process is killed, in milliseconds
   */
  constructor(startMs: number, graceMs: number) {
    this.startMs = startMs;
    this.outOfRotationMs = startMs + ROTATION_MS;
    this.acceptUntilMs = startMs + Math.min(ACCEPT_MAX_MS, ACCEPT_SHARE * graceMs);
    this.endMs = startMs + graceMs - Math.min(GRACE_MARGIN_MS, GRACE_MARGIN_SHARE * graceMs);
    this.refuseQueuedMs = this.endMs - REFUSE_QUEUED_MS;
    this.finalAnswersMs = this.endMs - Math.min(FINAL_ANSWERS_MS, FINAL_ANSWERS_SHARE * graceMs);
  }
}
