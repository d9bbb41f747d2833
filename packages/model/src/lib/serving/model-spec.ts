/** A model that engines can load. */
export interface ModelSpec {
  readonly name: string;
  /** Memory of the weights, in megabytes. */
  readonly sizeMb: number;
  /** Time to load it from the weight store, in milliseconds. */
  readonly storeLoadMs: number;
  /** Time to load it from the engine's disk, in milliseconds. */
  readonly diskLoadMs: number;
  /** Time to load it from the engine's host memory, in milliseconds. */
  readonly hostLoadMs: number;
  /** Memory of one adapter, in megabytes. */
  readonly adapterMb: number;
}
