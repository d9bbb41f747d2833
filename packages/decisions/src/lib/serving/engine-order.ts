/** An order to load or unload a model or an adapter on an engine. */
export interface EngineOrder {
  readonly action: 'load' | 'unload';
  readonly model: string;
  /** The adapter of the model that the order is for; unset for an order for the model itself. */
  readonly adapter?: string;
}
