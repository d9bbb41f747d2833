import type { RouteSpec, ServiceSpec } from '@chervilseam/model';

/** Where a request is to go. */
export interface RunTarget {
  readonly route: RouteSpec;
  readonly service: ServiceSpec;
}
