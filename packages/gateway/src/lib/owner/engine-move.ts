/** A change of the models that are loaded on an engine. */
export interface EngineMove {
  /** Model to load. */
  readonly load: string;
  /** Models to unload first to free memory for it, in this order. */
  readonly unload: readonly string[];
  /**
   * Expected time until those models are unloaded, in milliseconds; `undefined` from an instance of an earlier
   * version.
   */
  readonly unloadMs?: number;
}
