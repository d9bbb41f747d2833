import type { EndpointLoad } from '@chervilseam/decisions';

/** What an owner says at the end of a whole answer. */
export interface DispatchEnd {
  readonly load: EndpointLoad;
}
