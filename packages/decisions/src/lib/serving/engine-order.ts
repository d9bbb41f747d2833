/** An order to an engine. */
export interface EngineOrder {
  readonly action: 'load' | 'unload';
  readonly model: string;
  /** Set when the order is for an adapter of the model. */
  readonly adapter?: string;
}
