import type { ModelSpec } from './model-spec.js';

/** What the engines of a service can do. */
export interface EngineSpec {
  /** Requests that run side by side. */
  readonly slotCount: number;
  /** Tokens of running requests and cached prompts that fit in memory together. */
  readonly kvTokenCount: number;
  /** Memory for weights and adapters, in megabytes. */
  readonly memoryMb: number;
  readonly adapterSlotCount: number;
  /** Loads from the weight store that all engines may begin together; a rate per second. */
  readonly storeLoadsPerSecond: number;
  readonly models: ReadonlyMap<string, ModelSpec>;
}
