import type { EndedWait } from './ended-wait.js';

/** Models at one moment. */
interface ModelsNow {
  /** Models that callers ask for. */
  readonly requested: ReadonlySet<string>;
  /** Models of which a replica can serve. */
  readonly ready: ReadonlySet<string>;
}

/** Measures how long callers have asked for models that have no replica. */
export class ReplicaWaits {
  readonly #sinceMs = new Map<string, number>();

  /**
   * @param models - models that are asked for, and those that can serve
   * @param nowMs - current time of a monotonic clock, in milliseconds
   * @returns waits that have ended since the previous call
   */
  observe({ requested, ready }: ModelsNow, nowMs: number): EndedWait[] {
    const ended = [...this.#sinceMs].flatMap(([model, sinceMs]) => {
      const isReady = ready.has(model);
      if (!isReady && requested.has(model)) return [];
      this.#sinceMs.delete(model);
      return [{ model, waitedMs: nowMs - sinceMs, isReady }];
    });
    requested.forEach((model) => {
      if (!ready.has(model) && !this.#sinceMs.has(model)) this.#sinceMs.set(model, nowMs);
    });
    return ended;
  }

  /**
   * @param model - a model
   * @param nowMs - current time of the same clock, in milliseconds
   * @returns time for which callers have asked for it while it had no replica, in milliseconds; 0 if they don't
   */
  waitedMs(model: string, nowMs: number): number {
    return nowMs - (this.#sinceMs.get(model) ?? nowMs);
  }
}
