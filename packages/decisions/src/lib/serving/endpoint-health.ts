/** Half-life of the weight of a failure, in milliseconds: many disturbances last only seconds. */
const FAILURE_HALF_LIFE_MS = 1_500;
/** Factor by which a success reduces the failure count. */
const FAILURE_KEEP_SHARE = 0.7;
/**
 * Shortest pause of an endpoint that did not answer, in milliseconds; it doubles with each further
 * failure up to `PAUSE_MAX_MS`.
 */
const PAUSE_MIN_MS = 250;
/** Longest pause of an endpoint that did not answer, in milliseconds. */
const PAUSE_MAX_MS = 2_000;
/**
 * Time that an endpoint counts as down after a failed connection attempt, unless it answers, in
 * milliseconds.
 */
const DOWN_MS = 4_000;
/** Weight of the newest sample in the moving average of the time to answer. */
const LATENCY_WEIGHT = 0.25;
/**
 * Weight of the newest sample in the moving average of the time between events; low, as events are
 * frequent.
 */
const INTER_EVENT_WEIGHT = 0.05;
/**
 * Half-life of the latency averages, in milliseconds: they fade so that a slow endpoint is tried
 * again.
 */
const LATENCY_HALF_LIFE_MS = 2_500;

const decayed = (value: number, ageMs: number, halfLifeMs: number): number =>
  value * 0.5 ** (ageMs / halfLifeMs);

/**
 * Recent failures and latencies of an endpoint, as one instance observes them. An endpoint that did
 * not answer is paused: requests avoid it while others can serve them. After a failed connection
 * attempt it is also unreachable, so that it gets no requests, for about as long as the pause, and
 * it counts as down, so that no models are placed on it, for longer.
 */
export class EndpointHealth {
  /** Number of failures, decayed to `#failuresAtMs`. */
  #failures = 0;
  #failuresAtMs = 0;
  /** Number of pauses since the last success. */
  #noAnswerCount = 0;
  #pausedUntilMs = 0;
  #unreachableUntilMs = 0;
  #downUntilMs = 0;
  #latencyMs = 0;
  #latencyAtMs = 0;
  #interEventMs = 0;
  #interEventAtMs = 0;

  /**
   * Records an answer.
   *
   * @param latencyMs - time to its first bytes, in milliseconds
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  recordSuccess(latencyMs: number, nowMs: number): void {
    this.#failures = this.failureCount(nowMs) * FAILURE_KEEP_SHARE;
    this.#failuresAtMs = nowMs;
    this.#noAnswerCount = 0;
    this.#pausedUntilMs = 0;
    this.#unreachableUntilMs = 0;
    this.#downUntilMs = 0;
    const isKnown = this.#latencyAtMs > 0;
    this.#latencyMs += (isKnown ? LATENCY_WEIGHT : 1) * (latencyMs - this.#latencyMs);
    this.#latencyAtMs = nowMs;
  }

  /**
   * Records the time between two events of a stream.
   *
   * @param gapMs - time between the events, in milliseconds
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  recordEventGap(gapMs: number, nowMs: number): void {
    const isKnown = this.#interEventAtMs > 0;
    this.#interEventMs += (isKnown ? INTER_EVENT_WEIGHT : 1) * (gapMs - this.#interEventMs);
    this.#interEventAtMs = nowMs;
  }

  /** @returns recent mean time between events, in milliseconds; fades to 0 without new samples */
  interEventMs(nowMs: number): number {
    return decayed(this.#interEventMs, nowMs - this.#interEventAtMs, LATENCY_HALF_LIFE_MS);
  }

  /**
   * Records an answer that reports a failure.
   *
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  recordFailure(nowMs: number): void {
    this.#failures = this.failureCount(nowMs) + 1;
    this.#failuresAtMs = nowMs;
  }

  /**
   * Records a connection that could not be opened, broke, or brought no answer in time.
   *
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  recordNoAnswer(nowMs: number): void {
    this.recordFailure(nowMs);
    // Requests that run concurrently fail together: their failures lengthen the pause only once.
    if (nowMs < this.#pausedUntilMs) return;
    const pauseMs = Math.min(PAUSE_MAX_MS, PAUSE_MIN_MS * 2 ** this.#noAnswerCount);
    this.#noAnswerCount += 1;
    this.#pausedUntilMs = nowMs + pauseMs;
  }

  /**
   * Records a connection that could not be opened.
   *
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  recordConnectFailure(nowMs: number): void {
    this.recordNoAnswer(nowMs);
    this.#unreachableUntilMs = Math.max(this.#pausedUntilMs, nowMs + PAUSE_MIN_MS);
    this.#downUntilMs = nowMs + DOWN_MS;
  }

  /**
   * Records that the endpoint's process has ended: it gets no requests until it counts as up again.
   *
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  recordEnd(nowMs: number): void {
    this.recordConnectFailure(nowMs);
    this.#unreachableUntilMs = this.#downUntilMs;
  }

  /**
   * @returns whether a connection attempt failed within the last `DOWN_MS` and no answer came since
   */
  isDown(nowMs: number): boolean {
    return nowMs < this.#downUntilMs;
  }

  /**
   * @returns whether a connection attempt failed so recently that no request should be sent there
   */
  isUnreachable(nowMs: number): boolean {
    return nowMs < this.#unreachableUntilMs;
  }

  /** @returns whether requests avoid the endpoint while others can serve them */
  isPaused(nowMs: number): boolean {
    return nowMs < this.#pausedUntilMs;
  }

  /** @returns number of recent failures; each counts less the older it is */
  failureCount(nowMs: number): number {
    return decayed(this.#failures, nowMs - this.#failuresAtMs, FAILURE_HALF_LIFE_MS);
  }

  /**
   * @returns recent mean time to the first bytes of an answer, in milliseconds; fades to 0 without
   *   new answers
   */
  latencyMs(nowMs: number): number {
    return decayed(this.#latencyMs, nowMs - this.#latencyAtMs, LATENCY_HALF_LIFE_MS);
  }
}
