type Labels = Readonly<Record<string, string>>;

/** Conditions on an object's labels, all of which must be satisfied. */
export interface Selector {
  /** The label has exactly this value. */
  readonly equal: Labels;
  /** The label has one of these values. */
  readonly anyOf: Readonly<Record<string, readonly string[]>>;
  /** The label is absent or has none of these values. */
  readonly noneOf: Readonly<Record<string, readonly string[]>>;
  /** Labels that must be present. */
  readonly exists: readonly string[];
  /** Labels that must not be present. */
  readonly absent: readonly string[];
}
