import type { QuotaCharge } from './quota-charge.js';

/** Whether a request is within the quota of its workspace. */
export type QuotaVerdict =
  | { readonly kind: 'admitted'; readonly charge: QuotaCharge }
  /** Above the quota; there will be room after `retryAfterMs`, in milliseconds. */
  | { readonly kind: 'exceeded'; readonly retryAfterMs: number }
  /** No instance that could tell was reached. */
  | { readonly kind: 'unknown' };
