/** The state that an engine reports; it may be outdated. */
export interface EngineReport {
  /** Time of the report by the engine's clock, in milliseconds. */
  readonly atMs: number;
  /** Unique id of this run (start to exit) of the engine; nothing is resident at its start. */
  readonly bootId: string;
  /** Number of requests in progress. */
  readonly running: number;
  /** Memory of each resident item, in bytes, by the item's name as in {@link EngineOrder}. */
  readonly residents: Readonly<Record<string, number>>;
  /** Memory in use, in bytes. */
  readonly usedBytes: number;
  /** Highest fencing token that the engine has received. */
  readonly fence: number;
  /** Ids of the orders that the engine has carried out or refused, oldest first. */
  readonly settledOrders: readonly string[];
}
