import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 2 ** 30;

/** A seeded random number generator, so that every decision can be reproduced. */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  /** @param seed - any integer */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** @returns a number from 0 (inclusive) to 1 (exclusive) */
  unit(): number {
    return uniformInt(this.#generator, 0, RANGE - 1) / RANGE;
  }

  /**
   * @param count - upper bound; more than 0
   * @returns an integer from 0 (inclusive) to `count` (exclusive)
   */
  below(count: number): number {
    return Math.floor(this.unit() * count);
  }

  /**
   * @param items - the items to choose from
   * @returns one of them, or `undefined` when there are none
   */
  pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.below(items.length)];
  }

  /**
   * @param items - the items
   * @returns a new array of them in random order
   */
  shuffle<T>(items: readonly T[]): T[] {
    const result = [...items];
    for (let last = result.length - 1; last > 0; last -= 1) {
      const at = this.below(last + 1);
      [result[last], result[at]] = [result[at], result[last]];
    }
    return result;
  }

  /**
   * @param mean - mean of the distribution
   * @returns an exponentially distributed number
   */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.unit());
  }
}
