import { DemandEstimate } from '@chervilseam/decisions';
import type { CallerHead } from '../ports/caller-head.js';

/** Tokens that an engine reads in the time of one step of its batch: 5 ms at 38 tokens a millisecond. */
const STEP_WORK = 200;
/** Part of its work that a refused request counts for: its caller comes back once and counts again. */
const REFUSED_SHARE = 0.5;
/** Output tokens of a request that gives no hint, at the most; a count. */
const OUTPUT_TOKENS_UNHINTED = 300;
/** Demand below this is not sent to the others, in tokens a second. */
const DEMAND_MIN = 20;
const MS_PER_SECOND = 1_000;
/** Callers in a hurry are remembered this long, in milliseconds: demand has faded by then. */
const URGENT_MEMORY_MS = 10_000;
/** A model's demand rises within a second and falls within a few. */
const RATES = { risePerSecond: 0.85, fallPerSecond: 0.35 };

/**
 * Demand that callers of this instance have for each model, in tokens to read a second. It counts
 * the work of requests and not their duration: that grows when engines are crowded, and what follows
 * demand would then chase its own effect.
 */
export class DemandMeter {
  readonly #estimate = new DemandEstimate(RATES);
  #work = new Map<string, number>();
  #sinceMs: number;
  /** When each model was last asked for by a caller that wants an answer sooner than a load takes. */
  readonly #urgentMs = new Map<string, number>();

  /** @param nowMs - a clock that only goes forward, in milliseconds */
  constructor(nowMs: number) {
    this.#sinceMs = nowMs;
  }

  /**
   * @param head - a new request
   * @param slotCount - requests that an engine runs side by side: they share its steps
   * @param isUrgent - whether its caller wants an answer sooner than the model could be loaded
   */
  asked(head: CallerHead, slotCount: number, isUrgent: boolean): void {
    const { model } = head;
    if (model === undefined) return;
    if (isUrgent) this.#urgentMs.set(model, this.#sinceMs);
    this.#add(model, DemandMeter.#workOf(head, slotCount));
  }

  /**
   * @param head - a request that was counted and is refused now
   * @param slotCount - requests that an engine runs side by side
   */
  refused(head: CallerHead, slotCount: number): void {
    const { model } = head;
    if (model === undefined) return;
    this.#add(model, (REFUSED_SHARE - 1) * DemandMeter.#workOf(head, slotCount));
  }

  /** Closes a window of time. */
  tick(nowMs: number): void {
    const durationMs = nowMs - this.#sinceMs;
    if (durationMs <= 0) return;
    const rates = new Map(
      [...this.#work].map(([model, work]) => [
        model,
        (Math.max(0, work) * MS_PER_SECOND) / durationMs,
      ]),
    );
    this.#estimate.observe(rates, durationMs);
    this.#work = new Map();
    this.#sinceMs = nowMs;
  }

  /** @returns models that callers in a hurry asked for of late */
  urgentModels(nowMs: number): string[] {
    this.#urgentMs.forEach((askedMs, model) => {
      if (nowMs > askedMs + URGENT_MEMORY_MS) this.#urgentMs.delete(model);
    });
    return [...this.#urgentMs.keys()];
  }

  /** @returns demand by model, without what is next to nothing */
  demand(): Map<string, number> {
    return new Map([...this.#estimate.byModel].filter(([, value]) => value >= DEMAND_MIN));
  }

  #add(model: string, work: number): void {
    this.#work.set(model, (this.#work.get(model) ?? 0) + work);
  }

  static #workOf(head: CallerHead, slotCount: number): number {
    const { promptTokenCount, outputTokenCountMax, outputTokenHint } = head;
    const unhinted = Math.min(outputTokenCountMax, OUTPUT_TOKENS_UNHINTED);
    return promptTokenCount + (STEP_WORK / slotCount) * (outputTokenHint ?? unhinted);
  }
}
