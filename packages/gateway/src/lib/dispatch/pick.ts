import type { Endpoint } from '../feed/endpoint.js';
import type { PickReason } from './pick-reason.js';

/** What is to be done with a request. */
export type Pick =
  | {
      readonly kind: 'send';
      readonly endpoint: Endpoint;
      readonly candidateCount: number;
      /** Prompt tokens that the endpoint will have read before the first event; a count. */
      readonly readTokenCount: number;
    }
  /** The adapter has to be loaded first, on one of these engines, the best first. */
  | { readonly kind: 'prepare'; readonly endpoints: readonly Endpoint[] }
  /** Places or the model will be there in a while, in milliseconds. */
  | { readonly kind: 'wait'; readonly reason: PickReason; readonly etaMs: number }
  | { readonly kind: 'refuse'; readonly reason: string; readonly retryAfterMs: number };
