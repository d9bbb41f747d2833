import { loadChart } from '../chart/load-chart.js';

/** An interval this many times the expected one is slow. */
const SLOW_RATIO = 2.5;
/** Expected intervals follow faster ones at once and slower ones hardly. */
const FASTER_WEIGHT = 0.3;
const SLOWER_WEIGHT = 0.02;
const RECENT_WEIGHT = 0.5;
/** A window is judged once it should have held this many tokens, by the expected interval. */
const EXPECTED_COUNT_MIN = 8;
/** While nothing is expected yet, it is judged once it holds this many. */
const FIRST_COUNT_MIN = 4;
/** An endpoint without streams for this long is taken for well again, in milliseconds. */
const IDLE_MS = 500;

const chart = loadChart('endpoint-health');

const bucketOf = (streamCount: number): number => Math.floor(Math.log2(streamCount));

/**
 * How fast an endpoint makes tokens, judged by its own answers as they pass: reports come seconds
 * too late for a neighbour that slows it for two seconds. Costs a few additions a window.
 */
export class EndpointSpeed {
  readonly #expectedMs = new Map<number, number>();
  #health = chart.initial;
  #recentMs = 0;
  #tokenCount = 0;
  #streamMs = 0;
  #idleMs = 0;

  /** Time between tokens of late, in milliseconds; 0 while nothing is known. */
  get tokenMs(): number {
    return this.#recentMs;
  }

  /** Whether the endpoint is slower than it should be. */
  get isSlowed(): boolean {
    return this.#health === 'slowed';
  }

  /** Whether the endpoint was slowed and is being tried again with little work. */
  get isProbed(): boolean {
    return this.#health === 'probed';
  }

  /**
   * @param streamCount - streams that run side by side
   * @returns the time between tokens to expect then, in milliseconds; 0 while nothing is known
   */
  expectedMs(streamCount: number): number {
    const wanted = bucketOf(Math.max(1, streamCount));
    let nearest = 0;
    let distance = Infinity;
    this.#expectedMs.forEach((intervalMs, bucket) => {
      if (Math.abs(bucket - wanted) >= distance) return;
      distance = Math.abs(bucket - wanted);
      nearest = intervalMs;
    });
    return nearest;
  }

  /**
   * Takes what passed in a window of time.
   *
   * @param streamCount - streams that were making tokens
   * @param tokenCount - tokens of all of them
   * @param durationMs - length of the window, in milliseconds
   */
  observe(streamCount: number, tokenCount: number, durationMs: number): void {
    if (streamCount === 0) {
      this.#idle(durationMs);
      return;
    }
    this.#idleMs = 0;
    this.#tokenCount += tokenCount;
    this.#streamMs += durationMs * streamCount;
    const expectedMs = this.expectedMs(streamCount);
    const isLongEnough =
      expectedMs > 0
        ? this.#streamMs >= EXPECTED_COUNT_MIN * expectedMs
        : this.#tokenCount >= FIRST_COUNT_MIN;
    if (!isLongEnough) return;
    const intervalMs = this.#streamMs / Math.max(1, this.#tokenCount);
    this.#tokenCount = 0;
    this.#streamMs = 0;
    this.#judge(streamCount, intervalMs, expectedMs);
  }

  // Nothing to judge by: the next requests are the probe.
  #idle(durationMs: number): void {
    this.#idleMs += durationMs;
    if (this.#idleMs < IDLE_MS) return;
    if (chart.can(this.#health, 'IDLE')) this.#health = chart.next(this.#health, 'IDLE');
    this.#tokenCount = 0;
    this.#streamMs = 0;
  }

  #judge(streamCount: number, intervalMs: number, expectedMs: number): void {
    const isSlow = expectedMs > 0 && intervalMs > SLOW_RATIO * expectedMs;
    const event = isSlow ? 'SLOW' : 'FAST';
    if (chart.can(this.#health, event)) this.#health = chart.next(this.#health, event);
    const weight = this.#recentMs === 0 ? 1 : RECENT_WEIGHT;
    this.#recentMs += weight * (intervalMs - this.#recentMs);
    if (!isSlow) this.#learn(bucketOf(streamCount), intervalMs);
  }

  #learn(bucket: number, intervalMs: number): void {
    const knownMs = this.#expectedMs.get(bucket);
    if (knownMs === undefined) {
      this.#expectedMs.set(bucket, intervalMs);
      return;
    }
    const weight = intervalMs < knownMs ? FASTER_WEIGHT : SLOWER_WEIGHT;
    this.#expectedMs.set(bucket, knownMs + weight * (intervalMs - knownMs));
  }
}
