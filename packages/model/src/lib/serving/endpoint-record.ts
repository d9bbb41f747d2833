/** What an endpoint publishes about itself in the platform's list of endpoints. */
export interface EndpointRecord {
  /** Unique id of the endpoint; usually a new one after each restart. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  /** Number of requests that the endpoint runs concurrently. */
  readonly slotCount: number;
  /** Whether the endpoint accepts no new requests, since it is to be removed. */
  readonly isDraining: boolean;
  /**
   * Time until the endpoint is removed, even if it still runs requests, in milliseconds; unset if it
   * published no removal.
   */
  readonly removalMs?: number;
  /** Start of the endpoint's process, as Unix time in milliseconds; 0 if not published. */
  readonly bornMs: number;
  /** Models in accelerator memory, with their versions and adapters. */
  readonly models: readonly {
    readonly name: string;
    readonly version: number;
    readonly adapters: readonly string[];
  }[];
  /** Models whose weights are cached in the engine's host memory. */
  readonly hostModels: readonly string[];
  /** Models whose weights are cached on the engine's disk. */
  readonly diskModels: readonly string[];
}
