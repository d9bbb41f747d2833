/** A change of the models on an engine. */
export interface EngineMove {
  readonly load: string;
  /** Models that make room, in the order to unload them. */
  readonly unload: readonly string[];
}
