import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const RANGE = 2 ** 30;

/** Seeded random numbers, so that every decision can be replayed. */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  /** @param seed - any whole number */
  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** @returns a number from 0 up to, but not with, 1 */
  unit(): number {
    return uniformInt(this.#generator, 0, RANGE - 1) / RANGE;
  }

  /**
   * @param count - more than 0
   * @returns a whole number from 0 up to, but not with, `count`
   */
  below(count: number): number {
    return Math.floor(this.unit() * count);
  }

  /**
   * @param items - what to choose from
   * @returns one of them, or `undefined` when there are none
   */
  pick<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.below(items.length)];
  }

  /**
   * @param items - what to order
   * @returns a new array in random order
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
