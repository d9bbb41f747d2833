import { DemandEstimate } from '@chervilseam/decisions';
import type { CallerHead } from '../ports/caller-head.js';

/** Tokens read in the time that one output token takes of a full batch: steps last about 5 ms. */
const OUTPUT_TOKEN_WORK = 7;
/** Output tokens of a request that gives no hint, at the most; a count. */
const OUTPUT_TOKENS_UNHINTED = 300;
/** Demand below this is not sent to the others, in tokens a second. */
const DEMAND_MIN = 20;
const MS_PER_SECOND = 1_000;
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

  /** @param nowMs - a clock that only goes forward, in milliseconds */
  constructor(nowMs: number) {
    this.#sinceMs = nowMs;
  }

  /** @param head - a new request */
  asked({ model, promptTokenCount, outputTokenCountMax, outputTokenHint }: CallerHead): void {
    if (model === undefined) return;
    const unhinted = Math.min(outputTokenCountMax, OUTPUT_TOKENS_UNHINTED);
    const work = promptTokenCount + OUTPUT_TOKEN_WORK * (outputTokenHint ?? unhinted);
    this.#work.set(model, (this.#work.get(model) ?? 0) + work);
  }

  /** Closes a window of time. */
  tick(nowMs: number): void {
    const durationMs = nowMs - this.#sinceMs;
    if (durationMs <= 0) return;
    const rates = new Map(
      [...this.#work].map(([model, work]) => [model, (work * MS_PER_SECOND) / durationMs]),
    );
    this.#estimate.observe(rates, durationMs);
    this.#work = new Map();
    this.#sinceMs = nowMs;
  }

  /** @returns demand by model, without what is next to nothing */
  demand(): Map<string, number> {
    return new Map([...this.#estimate.byModel].filter(([, value]) => value >= DEMAND_MIN));
  }
}
