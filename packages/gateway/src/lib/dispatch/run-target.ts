import type { RouteSpec, ServiceSpec, WorkspaceSpec } from '@chervilseam/model';
import type { QuotaCharge } from '../quota/quota-charge.js';

/** Route that a request matched, and the service chosen for it. */
export interface RunTarget {
  readonly route: RouteSpec;
  readonly service: ServiceSpec;
  /**
   * Present when the configuration has workspaces; `workspace` is the caller's, absent for a request without a key on
   * a public route.
   */
  readonly access?: { readonly workspace?: WorkspaceSpec };
  /** What the request was charged of its workspace's quota; absent without one. */
  readonly charge?: QuotaCharge;
  /** Version of the configuration that the request was routed by. */
  readonly configVersion: number;
}
