/** A fact that spreads from instance to instance; of two with one key the greater version wins. */
export interface Rumor {
  readonly key: string;
  /** Compared first by the first number, then by the second. */
  readonly version: readonly [number, number];
  readonly value: unknown;
}
