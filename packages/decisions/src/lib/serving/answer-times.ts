/** Number of answers that an estimate is based on. */
const SAMPLE_COUNT = 64;
/** Share of the answers that take no longer than estimated. */
const QUANTILE = 0.95;

/**
 * How long complete answers of one kind took, in proportion to the largest size that their requests allowed.
 * The cost of an estimate is a sort of `SAMPLE_COUNT` numbers.
 */
export class AnswerTimes {
  /** The last samples, in milliseconds for each unit of size; the oldest is replaced next. */
  readonly #samples: number[] = [];
  #nextIndex = 0;

  /**
   * Records a complete answer.
   *
   * @param durationMs - time from the request to the end of its answer, in milliseconds
   * @param sizeMax - largest size that the request allowed, as a number of output tokens; 0 if it has none
   */
  record(durationMs: number, sizeMax: number): void {
    this.#samples[this.#nextIndex] = durationMs / Math.max(1, sizeMax);
    this.#nextIndex = (this.#nextIndex + 1) % SAMPLE_COUNT;
  }

  /**
   * @param sizeMax - largest size that a request allows, as for `record`
   * @returns time within which its answer is expected to be complete, in milliseconds; `undefined` without any
   *   earlier answer
   */
  estimateMs(sizeMax: number): number | undefined {
    if (this.#samples.length === 0) return undefined;
    const sorted = [...this.#samples].sort((left, right) => left - right);
    const index = Math.min(sorted.length - 1, Math.floor(QUANTILE * sorted.length));
    return sorted[index] * Math.max(1, sizeMax);
  }
}
