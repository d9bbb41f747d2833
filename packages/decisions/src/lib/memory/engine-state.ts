import type { OrderRecord } from './order-record.js';

/** What the log knows of one engine. */
export interface EngineState {
  readonly endpoint: string;
  readonly owner: string;
  readonly incarnation: string;
  /** Log offset of the owner's claim; 0 for none. */
  readonly fence: number;
  /** Life of the engine that reported last; empty while none has. */
  readonly bootId: string;
  /** Lives of the engine that are over. */
  readonly pastBootIds: readonly string[];
  /** What the engine said that it holds, with bytes. */
  readonly residents: Readonly<Record<string, number>>;
  /** Tokens a second that it makes at the target's pace; 0 while unknown. */
  readonly tokensPerSecond: number;
  readonly orders: readonly OrderRecord[];
}
