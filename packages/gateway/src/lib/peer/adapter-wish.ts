/** A request to the owner of an engine to load an adapter. */
export interface AdapterWish {
  readonly endpoint: string;
  readonly model: string;
  readonly adapter: string;
  /** Whether the engine denied having it although its owner listed it. */
  readonly wasDenied: boolean;
}
