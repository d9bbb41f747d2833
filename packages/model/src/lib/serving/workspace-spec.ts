import type { QuotaSpec } from './quota-spec.js';

/** A workspace: callers who share API keys, a priority and a quota. */
export interface WorkspaceSpec {
  readonly name: string;
  /** SHA-256 digests of its API keys, in hexadecimal. */
  readonly keyDigests: readonly string[];
  /** Priority of its requests, which takes precedence over that of their routes; 0 is served first. */
  readonly priority?: number;
  /** Absent when it may use as much as it likes. */
  readonly quota?: QuotaSpec;
}
