import { QuotaUnit } from '@chervilseam/model';
import type { QuotaSpec } from '@chervilseam/model';

/** What a request's headers state of its tokens. */
interface StatedTokens {
  readonly statesTokenCounts?: boolean;
  readonly promptTokenCount: number;
  readonly outputTokenCountMax: number;
}

/**
 * @param quota - the quota that a request counts against
 * @param request - what its headers state
 * @returns its units, a whole number
 */
export function quotaCost(quota: QuotaSpec, request: StatedTokens): number {
  if (quota.unit === QuotaUnit.requests) return 1;
  if (!request.statesTokenCounts) return Math.ceil(quota.plainTokenCount);
  return request.promptTokenCount + request.outputTokenCountMax;
}
