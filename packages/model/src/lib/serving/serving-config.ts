import type { CallerLimits } from './caller-limits.js';
import type { RouteSpec } from './route-spec.js';
import type { ServiceSpec } from './service-spec.js';
import type { WorkspaceSpec } from './workspace-spec.js';

/** A complete version of the serving configuration. */
export interface ServingConfig {
  /** Increases with each change, but not always by 1. */
  readonly version: number;
  readonly routes: readonly RouteSpec[];
  readonly services: ReadonlyMap<string, ServiceSpec>;
  readonly limits: CallerLimits;
  /** Workspaces by name; absent when callers need no API keys. */
  readonly workspaces?: ReadonlyMap<string, WorkspaceSpec>;
}
