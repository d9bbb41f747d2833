import type { SimRequest } from './sim-request.js';

/** Decides at which engine each request of a simulated run is served, and when. */
export interface SimPolicy {
  /** Handles a request that has just reached its entry instance. */
  submit(request: SimRequest): void;
}
