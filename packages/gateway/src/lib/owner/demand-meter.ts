import { DemandEstimate, requestWork } from '@chervilseam/decisions';
import type { CallerHead } from '../ports/caller-head.js';

/**
 * Fraction of its work that a refused request still counts for. Its caller sends it again once, and
 * the request is counted again then.
 */
const REFUSED_SHARE = 0.5;
/** Demand below this is not published, in prompt-token equivalents per second. */
const DEMAND_MIN = 20;
/** Number of significant digits of published demand. */
const DEMAND_DIGITS = 2;
const MS_PER_SECOND = 1_000;
/**
 * How long a model counts as latency-critical after a latency-critical request for it, in
 * milliseconds: its demand has decayed by then.
 */
const URGENT_RETENTION_MS = 10_000;
/** The estimate of a model's demand rises within a second and falls within a few. */
const RATES = { risePerSecond: 0.85, fallPerSecond: 0.35 };

/**
 * Measures the demand of this instance's callers for each model, in prompt-token equivalents per
 * second. It counts the work of the requests rather than their duration: the duration grows when engines
 * are overloaded, and placement would then react to its own effect.
 */
export class DemandMeter {
  readonly #estimate = new DemandEstimate(RATES);
  /** Work of the requests in the current window by model, in prompt-token equivalents. */
  #work = new Map<string, number>();
  #windowStartMs: number;
  /** Start of the window of the latest latency-critical request, by model, in milliseconds. */
  readonly #urgentMs = new Map<string, number>();

  /** @param nowMs - monotonic clock, in milliseconds */
  constructor(nowMs: number) {
    this.#windowStartMs = nowMs;
  }

  /**
   * Counts the work of a new request.
   *
   * @param head - the request
   * @param slotCount - number of requests that an engine runs at a time and that share its steps
   * @param isUrgent - whether its caller wants an answer sooner than the model could be loaded
   */
  recordRequest(head: CallerHead, slotCount: number, isUrgent: boolean): void {
    const { model } = head;
    if (model === undefined) return;
    if (isUrgent) this.#urgentMs.set(model, this.#windowStartMs);
    this.#add(model, requestWork(head, slotCount));
  }

  /**
   * Takes back a part of the work that was counted for a request, because it is refused.
   *
   * @param head - the request
   * @param slotCount - number of requests that an engine runs at a time and that share its steps
   */
  recordRefusal(head: CallerHead, slotCount: number): void {
    const { model } = head;
    if (model === undefined) return;
    this.#add(model, (REFUSED_SHARE - 1) * requestWork(head, slotCount));
  }

  /** Ends the current window and starts the next one. */
  tick(nowMs: number): void {
    const durationMs = nowMs - this.#windowStartMs;
    if (durationMs <= 0) return;
    const rates = new Map(
      [...this.#work].map(([model, work]) => [
        model,
        (Math.max(0, work) * MS_PER_SECOND) / durationMs,
      ]),
    );
    this.#estimate.observe(rates, durationMs);
    this.#work = new Map();
    this.#windowStartMs = nowMs;
  }

  /** @returns models that latency-critical requests asked for within the retention time */
  urgentModels(nowMs: number): string[] {
    this.#urgentMs.forEach((requestedMs, model) => {
      if (nowMs > requestedMs + URGENT_RETENTION_MS) this.#urgentMs.delete(model);
    });
    return [...this.#urgentMs.keys()];
  }

  /**
   * @returns demand by model, rounded so that it is published anew only when it has changed noticeably,
   *   without models whose demand is negligible
   */
  demand(): Map<string, number> {
    return new Map(
      [...this.#estimate.byModel].flatMap(([model, value]) =>
        value >= DEMAND_MIN ? [[model, Number(value.toPrecision(DEMAND_DIGITS))] as const] : [],
      ),
    );
  }

  #add(model: string, work: number): void {
    this.#work.set(model, (this.#work.get(model) ?? 0) + work);
  }
}
