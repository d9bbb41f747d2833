/** State of an engine that its owner publishes. */
export interface OwnedEngineState {
  /** Models that can serve. */
  readonly models: readonly string[];
  /** Adapters that can serve, each as `model/adapter`. */
  readonly adapters: readonly string[];
  /** Whether a model is being loaded or unloaded; no adapter can be loaded during that time. */
  readonly isBusy: boolean;
  /** Models that will be or are being unloaded and take no new requests. */
  readonly leaving: readonly string[];
  /**
   * Time since the start of each recent load from the weight store, by model, in milliseconds; 0 for a
   * load that has yet to begin.
   */
  readonly storeLoadAgesMs: Readonly<Record<string, number>>;
  /** Models that are being loaded, with the expected time until they can serve, in milliseconds. */
  readonly loading: readonly {
    readonly model: string;
    readonly remainingMs: number;
    /** Whether the load takes longer than expected: the weight store is slower when many engines load. */
    readonly isLate?: boolean;
  }[];
}
