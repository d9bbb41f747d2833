/** An order to an engine to change what is resident in its memory. */
export interface EngineOrder {
  /** Unique id; an order that is sent again keeps it. */
  readonly id: string;
  /** Fencing token: log offset of the order's reservation. */
  readonly fence: number;
  /** `fence` only makes the engine refuse orders with a lower fencing token. */
  readonly action: 'load' | 'unload' | 'fence';
  /** What to load or unload: `model/NAME@VERSION` or `adapter/NAME`; empty for `fence`. */
  readonly item: string;
  /** Memory that the item needs, in bytes. */
  readonly bytes: number;
}
