import type { CallerLimits } from './caller-limits.js';
import type { RouteSpec } from './route-spec.js';
import type { ServiceSpec } from './service-spec.js';

/** A whole version of the configuration. */
export interface ServingConfig {
  /** Grows with each change, in uneven steps. */
  readonly version: number;
  readonly routes: readonly RouteSpec[];
  readonly services: ReadonlyMap<string, ServiceSpec>;
  readonly limits: CallerLimits;
}
