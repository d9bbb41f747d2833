import type { QuotaSpec } from '@chervilseam/model';
import type { QuotaBound } from './quota-bound.js';
import type { QuotaLease } from './quota-lease.js';
import { toleranceParts } from './tolerance-parts.js';

const MS_PER_SECOND = 1_000;
/** Share of the room that is used; the rest covers rounding. */
const USED_SHARE = 0.98;

/**
 * What all pools together may hold of a quota. Units are added at the rate, and no more than the room are unspent at a
 * time. So no window sees more units spent than those added in it, those unspent at its beginning, and those given back.
 *
 * @param quota - the quota
 * @param bound - how far it may be exceeded
 * @returns rate and room
 */
export function quotaTotal(
  { ratePerSecond, burst }: Pick<QuotaSpec, 'ratePerSecond' | 'burst'>,
  { windowMs, overRatio, slackCount }: QuotaBound,
): QuotaLease {
  const toleratedCount = (overRatio * ratePerSecond * windowMs) / MS_PER_SECOND;
  return {
    ratePerSecond: ratePerSecond * (1 + toleranceParts.rate * overRatio),
    room:
      USED_SHARE * (burst * (1 + overRatio) + slackCount + toleranceParts.room * toleratedCount),
  };
}
