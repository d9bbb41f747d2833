import { setTimeout as sleep } from 'node:timers/promises';
import { HttpStandIn } from './http-stand-in.js';

interface WeightStoreOptions {
  /** Rate limit of loads; also the size of its token bucket. */
  readonly loadsPerSecond: number;
  /** Number of loads that run at full speed at the same time; more slow down each new one. */
  readonly fullSpeedCount: number;
  /** Time of one load at full speed, in milliseconds. */
  readonly loadMs: number;
}

/** Stands in for the platform's weight store, with a rate limit and a shared bandwidth. */
export class WeightStoreStandIn extends HttpStandIn {
  /** Factor on the time of every load. */
  slowFactor = 1;
  /** Number of loads that started and of those refused since the start. */
  readonly counts = { loads: 0, refused: 0 };
  readonly #options: WeightStoreOptions;
  #active = 0;
  /** Loads that may start now, by the token bucket of the rate limit. */
  #tokens: number;
  #refilledAtMs = Date.now();

  /** @param options - rate limit and speed */
  constructor(options: WeightStoreOptions) {
    super();
    this.#options = options;
    this.#tokens = options.loadsPerSecond;
    this.route('GET', '/weights/:name', async ({ response }) => {
      if (!this.#takeToken()) {
        this.counts.refused += 1;
        HttpStandIn.reply(response, 429, { error: 'too many loads' });
        return;
      }
      this.counts.loads += 1;
      this.#active += 1;
      const slowdown = Math.max(1, this.#active / options.fullSpeedCount);
      await sleep(options.loadMs * slowdown * this.slowFactor);
      this.#active -= 1;
      HttpStandIn.reply(response, 200, {});
    });
  }

  #takeToken(): boolean {
    const nowMs = Date.now();
    const { loadsPerSecond } = this.#options;
    const refill = ((nowMs - this.#refilledAtMs) / 1_000) * loadsPerSecond;
    this.#tokens = Math.min(loadsPerSecond, this.#tokens + refill);
    this.#refilledAtMs = nowMs;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
