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
  | {
      readonly kind: 'wait';
      readonly reason: PickReason;
      /** Time until there is a place or the model, in milliseconds; 0 when it may be at any moment. */
      readonly etaMs: number;
      /** Time until more engines have the model, in milliseconds, where one is loading it. */
      readonly reliefMs?: number;
    }
  | { readonly kind: 'refuse'; readonly reason: string; readonly retryAfterMs: number };
