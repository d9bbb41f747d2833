/** An order to an engine, as the log knows it. */
export interface OrderRecord {
  readonly id: string;
  /** Fencing number: log offset of the reservation. */
  readonly number: number;
  readonly action: 'load' | 'unload' | 'fence';
  readonly item: string;
  readonly bytes: number;
  /** Life of the owner that may send it. */
  readonly issuer: string;
  /** State as in the chart `reservation`. */
  readonly state: string;
  /** Log offset of the word that it is quiet; 0 before. */
  readonly quietOffset: number;
  /** Whether a report from after its last possible arrival has shown what it left behind. */
  readonly isShown: boolean;
  readonly timeMs: number;
  readonly reason: string;
}
