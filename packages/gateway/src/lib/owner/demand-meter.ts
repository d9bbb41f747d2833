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
/** Share of a model's mean loss that a new request replaces. */
const LOSS_SMOOTHING = 0.1;
const MS_PER_SECOND = 1_000;
/**
 * How long a model counts as latency-critical after a latency-critical request for it, in
 * milliseconds: its demand has decayed by then.
 */
const URGENT_RETENTION_MS = 10_000;
/** The estimate of a model's demand rises within a second and falls within a few. */
const RATES = { risePerSecond: 0.85, fallPerSecond: 0.35 };

/** What the caller of a request loses if it is not served in time. */
interface CallerLoss {
  /** Loss for each token; 1 for the highest priority. */
  readonly lossWeight: number;
  /** Whether an answer after a load of its model would be far too late. */
  readonly isUrgent: boolean;
  /** Whether an answer after a load of its model would miss the objective. */
  readonly isLateAfterLoad: boolean;
}

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
  /** Mean loss for each token of recent requests, by model. */
  readonly #lossWeights = new Map<string, number>();
  /** Start of the window of the latest latency-critical request, by model, in milliseconds. */
  readonly #urgentMs = new Map<string, number>();
  /** The same for the latest request that a load of its model would have made late. */
  readonly #lateAfterLoadMs = new Map<string, number>();

  /** @param nowMs - monotonic clock, in milliseconds */
  constructor(nowMs: number) {
    this.#windowStartMs = nowMs;
  }

  /**
   * Counts the work of a new request.
   *
   * @param head - the request
   * @param slotCount - number of requests that an engine runs at a time and that share its steps
   * @param loss - what its caller loses if it is not served in time, and what a load of the model would mean to it
   */
  recordRequest(
    head: CallerHead,
    slotCount: number,
    { isUrgent, isLateAfterLoad, lossWeight }: CallerLoss,
  ): void {
    const { model } = head;
    if (model === undefined) return;
    if (isUrgent) this.#urgentMs.set(model, this.#windowStartMs);
    if (isLateAfterLoad) this.#lateAfterLoadMs.set(model, this.#windowStartMs);
    const work = requestWork(head, slotCount);
    this.#add(model, work);
    const weight = this.#lossWeights.get(model) ?? lossWeight;
    this.#lossWeights.set(model, weight + LOSS_SMOOTHING * (lossWeight - weight));
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
    return DemandMeter.#recent(this.#urgentMs, nowMs);
  }

  /** @returns models of which a caller within the retention time would have been late after a load */
  lateAfterLoadModels(nowMs: number): string[] {
    return DemandMeter.#recent(this.#lateAfterLoadMs, nowMs);
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

  /** @returns mean loss of the callers of each model with demand for each token, rounded */
  lossWeights(): Record<string, number> {
    return Object.fromEntries(
      [...this.demand().keys()].map((model) => [
        model,
        Number((this.#lossWeights.get(model) ?? 1).toFixed(1)),
      ]),
    );
  }

  #add(model: string, work: number): void {
    this.#work.set(model, (this.#work.get(model) ?? 0) + work);
  }

  // Models that were requested within the retention time; the others are forgotten.
  static #recent(requestsMs: Map<string, number>, nowMs: number): string[] {
    requestsMs.forEach((requestedMs, model) => {
      if (nowMs > requestedMs + URGENT_RETENTION_MS) requestsMs.delete(model);
    });
    return [...requestsMs.keys()];
  }
}
