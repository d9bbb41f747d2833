import type { QuotaUnit } from './quota-unit.js';

/** Limit on what the callers of a workspace may send, over all instances together. */
export interface QuotaSpec {
  readonly unit: QuotaUnit;
  /** Units per second that the workspace may use on average; more than 0. */
  readonly ratePerSecond: number;
  /** Units that it may use at once after a pause, in addition. */
  readonly burst: number;
  /** Number of tokens that a request counts for if it does not state its tokens. */
  readonly plainTokenCount: number;
}
