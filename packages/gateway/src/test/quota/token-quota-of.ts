import { QuotaUnit } from '@chervilseam/model';
import type { QuotaSpec } from '@chervilseam/model';

/**
 * @param ratePerSecond - tokens per second
 * @returns a quota in tokens whose burst is the rate of one second
 */
export const tokenQuotaOf = (ratePerSecond: number): QuotaSpec => ({
  unit: QuotaUnit.tokens,
  ratePerSecond,
  burst: ratePerSecond,
  plainTokenCount: 200,
});
