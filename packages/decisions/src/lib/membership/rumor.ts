/**
 * A versioned value that instances pass on to each other (gossip). Of two rumors with the same key,
 * the one with the higher version wins.
 */
export interface Rumor {
  readonly key: string;
  /** Compared by the first number; if these are equal, by the second. */
  readonly version: readonly [number, number];
  readonly value: unknown;
}
