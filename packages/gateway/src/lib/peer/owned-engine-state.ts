/** What the owner of an engine tells of it. */
export interface OwnedEngineState {
  /** Models that can serve. */
  readonly models: readonly string[];
  /** Adapters that can serve, as model and adapter. */
  readonly adapters: readonly string[];
  /** Whether a model is being loaded or unloaded: adapters cannot be loaded meanwhile. */
  readonly isBusy: boolean;
  /** Models that take no new requests. */
  readonly leaving: readonly string[];
  /** Time since loads from the weight store began, by model, in milliseconds; 0 for one to come. */
  readonly storeLoadAgesMs: Readonly<Record<string, number>>;
  /** Models that are being loaded, and the time until they serve, in milliseconds. */
  readonly loading: readonly { readonly model: string; readonly remainingMs: number }[];
}
