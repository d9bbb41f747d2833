/** An engine's own report, which lags. */
export interface EngineReport {
  /** Time of the report by the engine's clock, in milliseconds. */
  readonly atMs: number;
  /** Changes whenever the engine starts anew, empty. */
  readonly bootId: string;
  readonly running: number;
  /** What is resident, with bytes. */
  readonly residents: Readonly<Record<string, number>>;
  readonly usedBytes: number;
  /** Highest fencing number that the engine has seen. */
  readonly fence: number;
  /** Ids of orders that were carried out or refused, newest last. */
  readonly settledOrders: readonly string[];
}
