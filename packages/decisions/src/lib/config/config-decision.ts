/** What the fold made of a configuration record. */
export interface ConfigDecision {
  readonly offset: number;
  readonly id: string;
  readonly author: string;
  readonly isAccepted: boolean;
  /** Why it was rejected; empty when it was accepted. */
  readonly reason: string;
  /** The objects that it would change, as `kind/name`. */
  readonly keys: readonly string[];
  /** Offset of the record that won over it; 0 when none did. */
  readonly winnerOffset: number;
}
