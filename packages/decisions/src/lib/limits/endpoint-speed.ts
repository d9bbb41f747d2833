import { loadChart } from '../chart/load-chart.js';

/** A token interval longer than this multiple of the expected one counts as slow. */
const SLOW_INTERVAL_RATIO = 2.5;
/**
 * Weights of a measured interval in the moving average of the expected one. It adapts quickly to
 * faster intervals and slowly to slower ones, so that a slowdown does not become the expectation.
 */
const FASTER_INTERVAL_WEIGHT = 0.3;
const SLOWER_INTERVAL_WEIGHT = 0.02;
/** Weight of a measured interval in the moving average that is reported as the current speed. */
const RECENT_INTERVAL_WEIGHT = 0.5;
/**
 * Windows are combined until this many tokens should have been produced at the expected interval.
 */
const EXPECTED_TOKEN_COUNT_MIN = 8;
/**
 * While there is no expected interval yet, windows are combined until they have this many tokens.
 */
const FIRST_TOKEN_COUNT_MIN = 4;
/**
 * Time without streams, in milliseconds, after which a slowed endpoint is probed with the next
 * requests.
 */
const IDLE_TIMEOUT_MS = 500;

const chart = loadChart('endpoint-health');

/** Bucket of stream counts: 1, 2 to 3, 4 to 7 and so on share one expected interval each. */
const bucketOf = (streamCount: number): number => Math.floor(Math.log2(streamCount));

/**
 * Measures how fast an endpoint produces tokens and detects when it is slowed. It uses the answers
 * that pass through the owner, since reports of the endpoint would come seconds too late to react
 * to another process that slows the accelerator for two seconds. The cost is a few additions per
 * window.
 */
export class EndpointSpeed {
  readonly #expectedMsByBucket = new Map<number, number>();
  #health = chart.initial;
  #recentIntervalMs = 0;
  /** Number of tokens in the windows being combined. */
  #tokenCount = 0;
  /** Length times number of streams, summed over the windows being combined, in milliseconds. */
  #streamMs = 0;
  #idleMs = 0;

  /** Moving average of the recent time between tokens, in milliseconds; 0 while unknown. */
  get tokenMs(): number {
    return this.#recentIntervalMs;
  }

  /** Whether the endpoint is clearly slower than expected. */
  get isSlowed(): boolean {
    return this.#health === 'slowed';
  }

  /** Whether the endpoint was slowed and is being probed with few requests. */
  get isProbing(): boolean {
    return this.#health === 'probed';
  }

  /**
   * @param streamCount - number of concurrent streams
   * @returns the expected time between tokens of each stream, in milliseconds; 0 while unknown
   */
  expectedMs(streamCount: number): number {
    const wantedBucket = bucketOf(Math.max(1, streamCount));
    let nearest = 0;
    let distance = Infinity;
    this.#expectedMsByBucket.forEach((intervalMs, bucket) => {
      if (Math.abs(bucket - wantedBucket) >= distance) return;
      distance = Math.abs(bucket - wantedBucket);
      nearest = intervalMs;
    });
    return nearest;
  }

  /**
   * Adds the measurements of one window.
   *
   * @param streamCount - number of streams that produced tokens
   * @param tokenCount - number of tokens of all streams
   * @param durationMs - length of the window, in milliseconds
   */
  observe(streamCount: number, tokenCount: number, durationMs: number): void {
    if (streamCount === 0) {
      this.#onIdle(durationMs);
      return;
    }
    this.#idleMs = 0;
    this.#tokenCount += tokenCount;
    this.#streamMs += durationMs * streamCount;
    const expectedMs = this.expectedMs(streamCount);
    const isLongEnough =
      expectedMs > 0
        ? this.#streamMs >= EXPECTED_TOKEN_COUNT_MIN * expectedMs
        : this.#tokenCount >= FIRST_TOKEN_COUNT_MIN;
    if (!isLongEnough) return;
    const intervalMs = this.#streamMs / Math.max(1, this.#tokenCount);
    this.#tokenCount = 0;
    this.#streamMs = 0;
    this.#updateHealth(streamCount, intervalMs, expectedMs);
  }

  // An idle endpoint cannot be measured, so the next requests serve as the probe.
  #onIdle(durationMs: number): void {
    this.#idleMs += durationMs;
    if (this.#idleMs < IDLE_TIMEOUT_MS) return;
    if (chart.can(this.#health, 'IDLE')) this.#health = chart.next(this.#health, 'IDLE');
    this.#tokenCount = 0;
    this.#streamMs = 0;
  }

  #updateHealth(streamCount: number, intervalMs: number, expectedMs: number): void {
    const isSlow = expectedMs > 0 && intervalMs > SLOW_INTERVAL_RATIO * expectedMs;
    const event = isSlow ? 'SLOW' : 'FAST';
    if (chart.can(this.#health, event)) this.#health = chart.next(this.#health, event);
    const weight = this.#recentIntervalMs === 0 ? 1 : RECENT_INTERVAL_WEIGHT;
    this.#recentIntervalMs += weight * (intervalMs - this.#recentIntervalMs);
    if (!isSlow) this.#updateExpected(bucketOf(streamCount), intervalMs);
  }

  #updateExpected(bucket: number, intervalMs: number): void {
    const knownMs = this.#expectedMsByBucket.get(bucket);
    if (knownMs === undefined) {
      this.#expectedMsByBucket.set(bucket, intervalMs);
      return;
    }
    const weight = intervalMs < knownMs ? FASTER_INTERVAL_WEIGHT : SLOWER_INTERVAL_WEIGHT;
    this.#expectedMsByBucket.set(bucket, knownMs + weight * (intervalMs - knownMs));
  }
}
