import type { VirtualClock } from '../policy/virtual-clock.js';

interface StoreLimits {
  /** Maximum number of loads that start per second. */
  readonly loadsPerSecond: number;
  /** Number of concurrent loads up to which each runs at full speed. */
  readonly fullSpeedCount: number;
  /** Duration of a load at full speed, in milliseconds. */
  readonly loadMs: number;
}

/**
 * A model of the weight store in virtual time: the rate of loads is limited, and loads slow down when
 * there are many at once.
 */
export class WeightStoreModel {
  /** Factor by which loads that start now take longer; 1 is the normal speed. */
  slowFactor = 1;
  readonly #clock: VirtualClock;
  readonly #limits: StoreLimits;
  #active = 0;
  /** Earliest start of the next load, in milliseconds of virtual time. */
  #nextStartMs = 0;

  constructor(clock: VirtualClock, limits: StoreLimits) {
    this.#clock = clock;
    this.#limits = limits;
  }

  /** Number of loads that run. */
  get activeCount(): number {
    return this.#active;
  }

  /** Starts a load as soon as the rate allows; `onDone` is called when it is complete. */
  load(onDone: () => void): void {
    const startMs = Math.max(this.#clock.nowMs, this.#nextStartMs);
    this.#nextStartMs = startMs + 1_000 / this.#limits.loadsPerSecond;
    this.#clock.after(startMs - this.#clock.nowMs, () => {
      this.#active += 1;
      const slowdown = Math.max(1, this.#active / this.#limits.fullSpeedCount);
      this.#clock.after(this.#limits.loadMs * slowdown * this.slowFactor, () => {
        this.#active -= 1;
        onDone();
      });
    });
  }
}
