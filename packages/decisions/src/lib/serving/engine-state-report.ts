/** A report by an engine of its own state, which lags a few hundred milliseconds behind. */
export interface EngineStateReport {
  /** Start of the engine's process, as Unix time in milliseconds; unset if it does not say. */
  readonly bornMs?: number;
  /** Number of orders that the engine has accepted since its start. */
  readonly orderCount: number;
  /** Whether a model is being loaded or unloaded. */
  readonly isBusy: boolean;
  /** Whether the engine announces that it is about to exit. */
  readonly isLeaving?: boolean;
  readonly models: readonly { readonly name: string; readonly adapters: readonly string[] }[];
  /** Adapters that are being loaded. */
  readonly pendingAdapters: readonly { readonly model: string; readonly adapter: string }[];
}
