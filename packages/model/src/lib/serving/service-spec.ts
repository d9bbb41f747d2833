import type { EngineSpec } from './engine-spec.js';

/** A service that routes send requests to. */
export interface ServiceSpec {
  readonly name: string;
  /** Maximum number of connections that one endpoint accepts, from all instances together. */
  readonly connectionCountMax: number;
  /** Set when the endpoints are engines; otherwise they are plain services. */
  readonly engine?: EngineSpec;
}
