/** The decision of the fold to accept or reject a configuration record. */
export interface ConfigDecision {
  /** Offset of the record in the log. */
  readonly offset: number;
  /** Id of the record. */
  readonly id: string;
  readonly author: string;
  readonly isAccepted: boolean;
  /** Why the record was rejected; empty when it was accepted. */
  readonly reason: string;
  /** Keys of the objects that the record changes, or would have changed, as `kind/name`. */
  readonly keys: readonly string[];
  /** Offset of the earlier record whose change it conflicts with; 0 when there is no conflict. */
  readonly winnerOffset: number;
}
