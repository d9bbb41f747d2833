import type { EndpointLoad } from '@chervilseam/decisions';

/** An owner's advice about a running request, sent like a head. */
export interface DispatchAdvice {
  /** `move`: the endpoint is slowed, the request would be better off elsewhere. */
  readonly advice: 'move';
  readonly load: EndpointLoad;
}
