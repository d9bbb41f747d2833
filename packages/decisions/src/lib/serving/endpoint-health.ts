/** Half-life of the memory of a failure, in milliseconds: a disturbance of seconds passes. */
const FAILURE_HALF_LIFE_MS = 1_500;
/** Share of the remembered failures that a success leaves. */
const SUCCESS_KEEP = 0.7;
/** First and longest time that an endpoint which did not answer is left alone, in milliseconds. */
const PAUSE_MIN_MS = 250;
const PAUSE_MAX_MS = 2_000;
/** An endpoint that takes no connections counts as down this long, unless it answers, in milliseconds. */
const DOWN_MS = 4_000;
/** Weight of the newest answer in the mean time to answer. */
const LATENCY_WEIGHT = 0.25;
/** Weight of the newest pause in the mean pause: events are many. */
const PACE_WEIGHT = 0.05;
/** Half-life of what is known of an endpoint's latency, in milliseconds, so that it is tried again. */
const LATENCY_HALF_LIFE_MS = 2_500;

const halved = (value: number, ageMs: number, halfLifeMs: number): number =>
  value * 0.5 ** (ageMs / halfLifeMs);

/** How an endpoint has answered of late, seen from one instance. */
export class EndpointHealth {
  #failures = 0;
  #failuresMs = 0;
  #silentCount = 0;
  #pausedUntilMs = 0;
  #unreachableUntilMs = 0;
  #downUntilMs = 0;
  #latencyMs = 0;
  #latencyAtMs = 0;
  #paceMs = 0;
  #paceAtMs = 0;

  /**
   * Takes an answer.
   *
   * @param latencyMs - time to its first bytes, in milliseconds
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  succeeded(latencyMs: number, nowMs: number): void {
    this.#failures = this.failureCount(nowMs) * SUCCESS_KEEP;
    this.#failuresMs = nowMs;
    this.#silentCount = 0;
    this.#pausedUntilMs = 0;
    this.#unreachableUntilMs = 0;
    this.#downUntilMs = 0;
    const isKnown = this.#latencyAtMs > 0;
    this.#latencyMs += (isKnown ? LATENCY_WEIGHT : 1) * (latencyMs - this.#latencyMs);
    this.#latencyAtMs = nowMs;
  }

  /**
   * Takes a pause between two events of a stream.
   *
   * @param gapMs - the pause, in milliseconds
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  paced(gapMs: number, nowMs: number): void {
    const isKnown = this.#paceAtMs > 0;
    this.#paceMs += (isKnown ? PACE_WEIGHT : 1) * (gapMs - this.#paceMs);
    this.#paceAtMs = nowMs;
  }

  /** @returns the mean pause between events of late, in milliseconds; old knowledge fades to 0 */
  paceMs(nowMs: number): number {
    return halved(this.#paceMs, nowMs - this.#paceAtMs, LATENCY_HALF_LIFE_MS);
  }

  /**
   * Takes a failure that the endpoint answered with.
   *
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  failed(nowMs: number): void {
    this.#failures = this.failureCount(nowMs) + 1;
    this.#failuresMs = nowMs;
  }

  /**
   * Takes a connection that could not be made, broke, or stayed without an answer.
   *
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  wasSilent(nowMs: number): void {
    this.failed(nowMs);
    // Requests that were under way together fail together: they count once.
    if (nowMs < this.#pausedUntilMs) return;
    const pauseMs = Math.min(PAUSE_MAX_MS, PAUSE_MIN_MS * 2 ** this.#silentCount);
    this.#silentCount += 1;
    this.#pausedUntilMs = nowMs + pauseMs;
  }

  /**
   * Takes a connection that could not be made.
   *
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  wasUnreachable(nowMs: number): void {
    this.wasSilent(nowMs);
    this.#unreachableUntilMs = Math.max(this.#pausedUntilMs, nowMs + PAUSE_MIN_MS);
    this.#downUntilMs = nowMs + DOWN_MS;
  }

  /** @returns whether connections failed of late and no answer has come since */
  isDown(nowMs: number): boolean {
    return nowMs < this.#downUntilMs;
  }

  /** @returns whether connections to the endpoint failed a moment ago */
  isUnreachable(nowMs: number): boolean {
    return nowMs < this.#unreachableUntilMs;
  }

  /** @returns whether the endpoint is left alone while others can serve */
  isPaused(nowMs: number): boolean {
    return nowMs < this.#pausedUntilMs;
  }

  /** @returns recent failures, the older the fewer */
  failureCount(nowMs: number): number {
    return halved(this.#failures, nowMs - this.#failuresMs, FAILURE_HALF_LIFE_MS);
  }

  /** @returns the mean time to answer of late, in milliseconds; old knowledge fades to 0 */
  latencyMs(nowMs: number): number {
    return halved(this.#latencyMs, nowMs - this.#latencyAtMs, LATENCY_HALF_LIFE_MS);
  }
}
