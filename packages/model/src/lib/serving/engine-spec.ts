import type { ModelSpec } from './model-spec.js';

/** Capacity of each engine of a service, and the models that the engines can load. */
export interface EngineSpec {
  /** Number of requests that an engine runs concurrently. */
  readonly slotCount: number;
  /** Capacity of an engine's KV cache: tokens of running requests and cached prompts together. */
  readonly kvTokenCount: number;
  /** Accelerator memory for weights and adapters, in megabytes. */
  readonly memoryMb: number;
  /** Maximum number of adapters on an engine. */
  readonly adapterSlotCount: number;
  /** Maximum rate at which all engines together may start loads from the weight store, per second. */
  readonly storeLoadsPerSecond: number;
  /** Models by name. */
  readonly models: ReadonlyMap<string, ModelSpec>;
}
