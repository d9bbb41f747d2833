/** A decision about a request with its reason, as shown on the operators' page. */
interface DecisionRecord {
  /** Monotonic clock of the instance, in milliseconds. */
  readonly atMs: number;
  /** Id of the request's trace. */
  readonly trace: string;
  readonly decision: string;
  readonly reason: string;
  readonly inputs: Readonly<Record<string, unknown>>;
}

/** Number of records that are kept and shown. */
const RECORD_COUNT_MAX = 500;

/** The latest decisions of an instance about requests. */
export class DecisionLog {
  #records: DecisionRecord[] = [];

  /** @param record - the decision to add */
  add(record: DecisionRecord): void {
    this.#records.push(record);
    // Trimming only at twice the length keeps the amortized cost of adding a record constant.
    if (this.#records.length >= 2 * RECORD_COUNT_MAX) {
      this.#records = this.#records.slice(-RECORD_COUNT_MAX);
    }
  }

  /**
   * @param trace - id of the trace to filter by; empty for all decisions
   * @returns the latest decisions, newest first
   */
  latest(trace = ''): readonly DecisionRecord[] {
    const chosen = this.#records.filter((record) => trace === '' || record.trace === trace);
    return chosen.slice(-RECORD_COUNT_MAX).reverse();
  }
}
