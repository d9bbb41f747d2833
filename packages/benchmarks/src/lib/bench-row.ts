/** One figure of a benchmark. */
export interface BenchRow {
  readonly scenario: string;
  readonly metric: string;
  readonly value: number;
  readonly unit: string;
  /** What the brief, the issue or the target asks for, as `>= N` or `<= N`; empty for none. */
  readonly bound: string;
  /** The same figure for other policies. */
  readonly baselines: Readonly<Record<string, number>>;
  /** Seeds that the figure joins; a count. */
  readonly seeds: number;
}
