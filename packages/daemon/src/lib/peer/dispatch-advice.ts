import type { EndpointLoad } from '@chervilseam/decisions';

/**
 * A message of the owner to the entry about a request. It is sent as a head on the stream of the
 * dispatch, before or after the head of the answer.
 */
export interface DispatchAdvice {
  /**
   * `accepted`: the owner has admitted the request. `move`: the endpoint has slowed down, and the
   * entry should run the request at another one.
   */
  readonly advice: 'accepted' | 'move';
  /** Load of the endpoint at its owner. */
  readonly load: EndpointLoad;
}
