/** An order to an engine, derived from the log. */
export interface OrderRecord {
  readonly id: string;
  /** Fencing token of the order: log offset of its reservation. */
  readonly number: number;
  readonly action: 'load' | 'unload' | 'fence';
  readonly item: string;
  readonly bytes: number;
  /** Unique id of the run of the owner that reserved the order; only this run may send it. */
  readonly issuer: string;
  /** State in the state chart `reservation`. */
  readonly state: string;
  /** Log offset of the `quiet` entry, after which no copy can arrive; 0 while there is none. */
  readonly quietOffset: number;
  /**
   * Whether a report from a time when no copy could arrive any more has shown the order's effect.
   */
  readonly isShown: boolean;
  /** Log time of the reservation, in milliseconds. */
  readonly timeMs: number;
  readonly reason: string;
}
