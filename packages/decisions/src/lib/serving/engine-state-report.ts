/** An engine's own report; its values are some hundred milliseconds old. */
export interface EngineStateReport {
  /** Orders that the engine has taken since its start; a count. */
  readonly orderCount: number;
  /** Whether a model is being loaded or unloaded. */
  readonly isBusy: boolean;
  readonly models: readonly { readonly name: string; readonly adapters: readonly string[] }[];
  /** Adapters on their way, as model and adapter. */
  readonly pendingAdapters: readonly { readonly model: string; readonly adapter: string }[];
}
