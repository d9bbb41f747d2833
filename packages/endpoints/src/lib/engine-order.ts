/** An order to an engine. */
export interface EngineOrder {
  /** Unique id; the same order sent twice has the same id. */
  readonly id: string;
  /** Fencing number: log offset of the ownership claim of the sender. */
  readonly fence: number;
  readonly action: 'load' | 'unload' | 'fence';
  /** What is loaded or unloaded: `model/NAME@VERSION` or `adapter/NAME`. */
  readonly item: string;
  readonly bytes: number;
}
