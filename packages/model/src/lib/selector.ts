type Labels = Readonly<Record<string, string>>;

/** Conditions over labels, all of which must hold. */
export interface Selector {
  readonly equal: Labels;
  readonly anyOf: Readonly<Record<string, readonly string[]>>;
  readonly noneOf: Readonly<Record<string, readonly string[]>>;
  readonly exists: readonly string[];
  readonly absent: readonly string[];
}
