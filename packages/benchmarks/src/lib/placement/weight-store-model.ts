import type { VirtualClock } from '../policy/virtual-clock.js';

interface StoreLimits {
  readonly loadsPerSecond: number;
  /** Loads that run at full speed side by side. */
  readonly fullSpeedCount: number;
  /** Time of one load at full speed, in milliseconds. */
  readonly loadMs: number;
}

/** The weight store in virtual time: limited in rate, slower when many load side by side. */
export class WeightStoreModel {
  slowFactor = 1;
  readonly #clock: VirtualClock;
  readonly #limits: StoreLimits;
  #active = 0;
  #nextStartMs = 0;

  constructor(clock: VirtualClock, limits: StoreLimits) {
    this.#clock = clock;
    this.#limits = limits;
  }

  /** Loads that run; a count. */
  get activeCount(): number {
    return this.#active;
  }

  load(onDone: () => void): void {
    const startMs = Math.max(this.#clock.nowMs, this.#nextStartMs);
    this.#nextStartMs = startMs + 1_000 / this.#limits.loadsPerSecond;
    this.#clock.after(startMs - this.#clock.nowMs, () => {
      this.#active += 1;
      const crowding = Math.max(1, this.#active / this.#limits.fullSpeedCount);
      this.#clock.after(this.#limits.loadMs * crowding * this.slowFactor, () => {
        this.#active -= 1;
        onDone();
      });
    });
  }
}
