import type { EndpointLoad } from '@chervilseam/decisions';
import type { Outcome, RefusalCode } from '@chervilseam/model';

/**
 * Why a dispatch ended without a complete answer; sent by the owner to the entry, or created by the
 * entry when it cannot reach the owner or find an endpoint.
 */
export interface DispatchFailure {
  readonly code: RefusalCode;
  /** Whether the request may have run at the endpoint. */
  readonly outcome: Outcome;
  readonly message: string;
  /** Load of the endpoint at its owner, if it is known. */
  readonly load?: EndpointLoad;
  /** Expected wait at the endpoint, in milliseconds, when it refused the request. */
  readonly retryAfterMs?: number;
}
