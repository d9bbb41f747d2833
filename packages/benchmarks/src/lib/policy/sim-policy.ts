import type { SimRequest } from './sim-request.js';

/** What decides about the requests of a run. */
export interface SimPolicy {
  /** Takes a request that has just reached its entry. */
  submit(request: SimRequest): void;
}
