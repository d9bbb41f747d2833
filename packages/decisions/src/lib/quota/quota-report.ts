import type { QuotaLease } from './quota-lease.js';

/** What a pool reports to the allocator: what it holds, and what it needs. */
export interface QuotaReport extends QuotaLease {
  /** Units per second that its callers ask for. */
  readonly demandPerSecond: number;
  /** Units of the largest recent request. */
  readonly largest: number;
}
