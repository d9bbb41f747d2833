import type { EngineSpec } from './engine-spec.js';

/** A service that routes lead to. */
export interface ServiceSpec {
  readonly name: string;
  /** Connections that one endpoint takes from all callers together. */
  readonly connectionCountMax: number;
  /** Set when the endpoints are engines; otherwise they are plain services. */
  readonly engine?: EngineSpec;
}
