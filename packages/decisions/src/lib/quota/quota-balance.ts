import { DecayingRate } from './decaying-rate.js';
import { quotaTimes } from './quota-times.js';
import { RecentMaximum } from './recent-maximum.js';
import type { UnitsAnswer } from './units-answer.js';
import type { UnitsAsk } from './units-ask.js';

const MS_PER_SECOND = 1_000;
const DEMAND_TIME_CONSTANT_MS = 3_000;
/** Time for which the size of a large request counts, in milliseconds. */
const LARGEST_PERIOD_MS = 10_000;
/** Share of the wanted stock below which units are fetched. */
const FETCH_SHARE = 0.5;
/** Share of it above which a call that is made for others fetches none. */
const ENOUGH_SHARE = 0.6;

/** Units of one workspace that this instance got from its pool and has not spent. */
export class QuotaBalance {
  #units = 0;
  #untilMs = -Infinity;
  #asked = 0;
  #askedMs = -Infinity;
  readonly #demand = new DecayingRate(DEMAND_TIME_CONSTANT_MS);
  readonly #largest = new RecentMaximum(LARGEST_PERIOD_MS);
  /** Until when the pool is known to have too little, in milliseconds. */
  #shortUntilMs = -Infinity;

  /**
   * Counts a request, whether or not it is admitted.
   *
   * @param cost - its units
   * @param nowMs - monotonic clock, in milliseconds
   */
  count(cost: number, nowMs: number): void {
    this.#asked += cost;
    this.#demand.add(cost, nowMs);
    this.#largest.record(cost, nowMs);
  }

  /**
   * @param cost - units to spend
   * @param nowMs - monotonic clock, in milliseconds
   * @returns whether there were enough; if so, they are spent
   */
  take(cost: number, nowMs: number): boolean {
    this.#expire(nowMs);
    if (this.#units < cost) return false;
    this.#units -= cost;
    return true;
  }

  /**
   * Takes back the units of a request that has not run. They expire with those that are there.
   *
   * @param cost - its units
   * @param nowMs - monotonic clock, in milliseconds
   */
  giveBack(cost: number, nowMs: number): void {
    this.#expire(nowMs);
    if (nowMs < this.#untilMs) this.#units += cost;
  }

  /** Gives up all units. */
  clear(): void {
    this.#units = 0;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns time for which the pool is known to have too little, in milliseconds; 0 when it may have enough
   */
  shortMs(nowMs: number): number {
    return Math.max(0, this.#shortUntilMs - nowMs);
  }

  /**
   * @param stockMs - how long the units should last, in milliseconds
   * @param nowMs - monotonic clock, in milliseconds
   * @returns whether units should be fetched, although no request waits for them
   */
  isLow(stockMs: number, nowMs: number): boolean {
    this.#expire(nowMs);
    if (nowMs < Math.max(this.#shortUntilMs, this.#askedMs + FETCH_SHARE * stockMs)) return false;
    return this.#units < FETCH_SHARE * this.#stock(stockMs, nowMs);
  }

  /**
   * @param waiting - units of each request that waits
   * @param stockMs - how long the units should last, in milliseconds
   * @param nowMs - monotonic clock, in milliseconds
   * @returns what to ask of the pool in a call that is made; `undefined` when there is enough
   */
  ask(waiting: readonly number[], stockMs: number, nowMs: number): UnitsAsk | undefined {
    this.#expire(nowMs);
    const stock = this.#stock(stockMs, nowMs);
    const held = this.#units;
    if (waiting.length === 0 && held >= ENOUGH_SHARE * stock) return undefined;
    const largest = this.#largest.value(nowMs);
    const waitingSum = waiting.reduce((sum, cost) => sum + cost, 0);
    const ask = {
      asked: this.#asked,
      held,
      waiting: waitingSum,
      needed: waiting.length === 0 ? 0 : Math.max(0, Math.min(...waiting) - held),
      stock,
      largest,
    };
    this.#asked = 0;
    this.#askedMs = nowMs;
    return ask;
  }

  /**
   * @param answer - the pool's answer
   * @param askedMs - when it was asked, by the monotonic clock, in milliseconds
   * @param nowMs - monotonic clock, in milliseconds
   */
  receive({ units, waitMs }: UnitsAnswer, askedMs: number, nowMs: number): void {
    this.#expire(nowMs);
    this.#untilMs = askedMs + quotaTimes.unitsMs;
    this.#units += units;
    if (waitMs > 0) this.#shortUntilMs = nowMs + waitMs;
  }

  // Nothing is fetched ahead where it would rather expire than be spent.
  #stock(stockMs: number, nowMs: number): number {
    const largest = this.#largest.value(nowMs);
    const perMs = this.#demand.perSecond(nowMs) / MS_PER_SECOND;
    if (perMs * quotaTimes.unitsMs < largest) return 0;
    return Math.max(largest, Math.round(perMs * stockMs));
  }

  #expire(nowMs: number): void {
    if (nowMs >= this.#untilMs) this.#units = 0;
  }
}
