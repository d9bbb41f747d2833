/** Something wrong with an input, with its place and the way to mend it. */
export interface Finding {
  /** File, or another name of the input. */
  readonly source: string;
  /** Line, counted from 1; 0 when the finding has no line. */
  readonly line: number;
  /** Column, counted from 1; 0 when the finding has no column. */
  readonly column: number;
  /** The object at fault, as `kind/name`, or the key path. */
  readonly object: string;
  /** The rule that was broken, as a stable code. */
  readonly rule: string;
  readonly message: string;
  /** What to do about it. */
  readonly mend: string;
}
