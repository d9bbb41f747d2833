import type { QuotaBound } from './quota-bound.js';
import { toleranceParts } from './tolerance-parts.js';

/**
 * Units of a request that is refused later than this after its admission are not given back: if they were spent before
 * a window and given back in it, they would add to what the window may see.
 *
 * @param bound - how far quotas may be exceeded
 * @returns the time, in milliseconds
 */
export function refundLimitMs({ windowMs, overRatio }: QuotaBound): number {
  return (toleranceParts.refunds * overRatio * windowMs) / (1 + overRatio);
}
