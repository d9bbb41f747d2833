import type { RouteSpec, ServiceSpec } from '@chervilseam/model';

/** Route that a request matched, and the service chosen for it. */
export interface RunTarget {
  readonly route: RouteSpec;
  readonly service: ServiceSpec;
  /** Version of the configuration that the request was routed by. */
  readonly configVersion: number;
}
