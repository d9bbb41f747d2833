import type { CallerLimits } from './caller-limits.js';
import type { RouteSpec } from './route-spec.js';
import type { ServiceSpec } from './service-spec.js';

/** A complete version of the serving configuration. */
export interface ServingConfig {
  /** Increases with each change, but not always by 1. */
  readonly version: number;
  readonly routes: readonly RouteSpec[];
  readonly services: ReadonlyMap<string, ServiceSpec>;
  readonly limits: CallerLimits;
}
