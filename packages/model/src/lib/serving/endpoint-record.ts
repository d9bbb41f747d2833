/** What an endpoint says of itself. */
export interface EndpointRecord {
  /** Identity of the endpoint; an endpoint that starts again mostly has a new one. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly slotCount: number;
  readonly isDraining: boolean;
  /** Time left until the endpoint is taken away, in milliseconds, when it said so. */
  readonly removalMs?: number;
  /** Start of this incarnation, as Unix time in milliseconds; 0 when it did not say. */
  readonly bornMs: number;
  /** Models in accelerator memory, with their version and adapters. */
  readonly models: readonly {
    readonly name: string;
    readonly version: number;
    readonly adapters: readonly string[];
  }[];
  /** Models whose weights lie in the engine's host memory. */
  readonly hostModels: readonly string[];
  /** Models whose weights lie on the engine's disk. */
  readonly diskModels: readonly string[];
}
