import { setTimeout as sleep } from 'node:timers/promises';
import { HttpStandIn } from './http-stand-in.js';

interface WeightStoreOptions {
  /** Loads that may start in a second. */
  readonly loadsPerSecond: number;
  /** Loads that run at full speed side by side. */
  readonly fullSpeedCount: number;
  /** Time of one load at full speed, in milliseconds. */
  readonly loadMs: number;
}

/** The platform's weight store: limited in rate, slower when many load side by side. */
export class WeightStoreStandIn extends HttpStandIn {
  slowFactor = 1;
  readonly counts = { loads: 0, refused: 0 };
  readonly #options: WeightStoreOptions;
  #active = 0;
  #tokens: number;
  #refilledAtMs = Date.now();

  /** @param options - rate and speed */
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
      const crowding = Math.max(1, this.#active / options.fullSpeedCount);
      await sleep(options.loadMs * crowding * this.slowFactor);
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
