/** A decision with its reason, for operators. */
interface DecisionRecord {
  readonly atMs: number;
  readonly trace: string;
  readonly decision: string;
  readonly reason: string;
  readonly inputs: Readonly<Record<string, unknown>>;
}

const RECORD_COUNT_MAX = 500;

/** The latest decisions of an instance. */
export class DecisionLog {
  #records: DecisionRecord[] = [];

  /** @param record - a decision that was made */
  add(record: DecisionRecord): void {
    this.#records.push(record);
    // Trimming in halves keeps the cost of an entry constant on average.
    if (this.#records.length >= 2 * RECORD_COUNT_MAX) {
      this.#records = this.#records.slice(-RECORD_COUNT_MAX);
    }
  }

  /**
   * @param trace - only decisions of this trace; all when empty
   * @returns the latest decisions, newest first
   */
  latest(trace = ''): readonly DecisionRecord[] {
    const chosen = this.#records.filter((record) => trace === '' || record.trace === trace);
    return chosen.slice(-RECORD_COUNT_MAX).reverse();
  }
}
