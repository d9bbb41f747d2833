/** A run that had not got past the beginning of its answer when its engine ended. */
export interface SuspectRun {
  /** Ids of the parts of its prompt, in order. */
  readonly parts: readonly string[];
  /** Whether it was sent although one of the parts was suspected already. */
  readonly isTest: boolean;
}
