/** An error in an input, with its position and how to fix it. */
export interface Finding {
  /** Name of the input, usually a file. */
  readonly source: string;
  /** Line, starting at 1; 0 if unknown. */
  readonly line: number;
  /** Column, starting at 1; 0 if unknown. */
  readonly column: number;
  /** The object with the error, as `kind/name`, or else the section or key. */
  readonly object: string;
  /** Stable code of the violated rule. */
  readonly rule: string;
  readonly message: string;
  /** How to fix the error. */
  readonly mend: string;
}
