import type { EndpointLoad } from '@chervilseam/decisions';

/** Sent by the owner after the last byte of a complete answer. */
export interface DispatchEnd {
  readonly load: EndpointLoad;
}
