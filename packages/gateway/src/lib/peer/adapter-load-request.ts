/** A request to the owner of an engine to load an adapter. */
export interface AdapterLoadRequest {
  /** The engine. */
  readonly endpoint: string;
  /** The adapter's model. */
  readonly model: string;
  readonly adapter: string;
  /** Whether the engine answered that it lacks the adapter although its owner listed it. */
  readonly wasDenied: boolean;
}
