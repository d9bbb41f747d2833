import type { EndpointLoad } from '@chervilseam/decisions';
import type { Outcome, RefusalCode } from '@chervilseam/model';

/** Why a dispatch ended without a whole answer. */
export interface DispatchFailure {
  readonly code: RefusalCode;
  readonly outcome: Outcome;
  readonly message: string;
  readonly load?: EndpointLoad;
  readonly retryAfterMs?: number;
}
