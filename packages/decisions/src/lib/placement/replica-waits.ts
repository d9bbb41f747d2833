import type { EndedWait } from './ended-wait.js';

/** Models at one moment. */
interface ModelsNow {
  /** Models that callers request. */
  readonly requested: ReadonlySet<string>;
  /** Models of which a replica can serve. */
  readonly ready: ReadonlySet<string>;
}

/** Measures how long callers have requested models that have no replica, and how long the others have had one. */
export class ReplicaWaits {
  readonly #sinceMs = new Map<string, number>();
  #readySinceMs: ReadonlyMap<string, number> = new Map();

  /**
   * @param models - models that are requested, and those that can serve
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
    this.#readySinceMs = new Map(
      [...ready].map((model) => [model, this.#readySinceMs.get(model) ?? nowMs]),
    );
    return ended;
  }

  /**
   * @param model - a model
   * @param nowMs - current time of the same clock, in milliseconds
   * @returns time for which callers have requested it while it had no replica, in milliseconds; 0 if they don't
   */
  waitedMs(model: string, nowMs: number): number {
    return nowMs - (this.#sinceMs.get(model) ?? nowMs);
  }

  /**
   * @param model - a model
   * @param nowMs - current time of the same clock, in milliseconds
   * @returns time since it got its first replica, in milliseconds; 0 if it has none
   */
  readyMs(model: string, nowMs: number): number {
    return nowMs - (this.#readySinceMs.get(model) ?? nowMs);
  }
}
