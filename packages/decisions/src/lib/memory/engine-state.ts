import type { OrderRecord } from './order-record.js';

/** State of one engine, derived from the log. */
export interface EngineState {
  readonly endpoint: string;
  readonly owner: string;
  /** Unique id of the owner's run. */
  readonly incarnation: string;
  /** Fencing token: log offset of the owner's claim; 0 for none. */
  readonly fence: number;
  /** Id of the engine's run in the latest report; empty before the first report. */
  readonly bootId: string;
  /** Ids of the engine's past runs. */
  readonly pastBootIds: readonly string[];
  /** Items that the engine reported as resident, with their sizes in bytes. */
  readonly residents: Readonly<Record<string, number>>;
  /** Throughput at the target time between tokens, in tokens per second; 0 while unknown. */
  readonly tokensPerSecond: number;
  readonly orders: readonly OrderRecord[];
}
