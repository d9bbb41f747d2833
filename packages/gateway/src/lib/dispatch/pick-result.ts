import type { Endpoint } from '../feed/endpoint.js';
import type { PickReason } from './pick-reason.js';

/** How a request is to be handled. */
export type PickResult =
  | {
      readonly kind: 'send';
      readonly endpoint: Endpoint;
      readonly candidateCount: number;
      /** Number of prompt tokens that the endpoint prefills before the first event. */
      readonly readTokenCount: number;
    }
  /** The adapter has to be loaded first, on one of these engines in this order. */
  | { readonly kind: 'prepare'; readonly endpoints: readonly Endpoint[] }
  | {
      readonly kind: 'wait';
      readonly reason: PickReason;
      /** Estimated time until a slot or the model is available, in milliseconds; 0 when unknown. */
      readonly etaMs: number;
      /** Time until another replica of the model is ready, in milliseconds; absent if none is loading. */
      readonly nextReplicaMs?: number;
      /** Number of slots of the endpoints that can serve the request, all of which are taken; absent if none can. */
      readonly placeCount?: number;
    }
  | { readonly kind: 'refuse'; readonly reason: string; readonly retryAfterMs: number };
