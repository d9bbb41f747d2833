import type { EndpointLoad } from '@chervilseam/decisions';

/** An owner's word about a request, sent like a head but before it or beside it. */
export interface DispatchAdvice {
  /**
   * `accepted`: the owner has the request. `move`: its endpoint is slowed, the request would be better
   * off elsewhere.
   */
  readonly advice: 'accepted' | 'move';
  readonly load: EndpointLoad;
}
