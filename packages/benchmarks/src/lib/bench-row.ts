/** One figure of a benchmark; printed as JSON, so its keys and values stay stable. */
export interface BenchRow {
  readonly scenario: string;
  readonly metric: string;
  readonly value: number;
  readonly unit: string;
  /** Required value, from the requirements or a target, as `>= N` or `<= N`; empty for none. */
  readonly bound: string;
  /** The same figure for other policies or set-ups, by name. */
  readonly baselines: Readonly<Record<string, number>>;
  /** Number of seeded runs that the figure is the mean of. */
  readonly seeds: number;
}
