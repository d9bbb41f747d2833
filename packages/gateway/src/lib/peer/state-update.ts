/** A version of a value that one instance sends to another: whole, or as a change to an earlier one. */
export interface StateUpdate<T> {
  readonly version: number;
  /** The whole value; left out when the receiver has the version `base`. */
  readonly value?: T;
  /** Version that `patch` applies to. */
  readonly base?: number;
  /** JSON merge patch that turns the version `base` into this one; left out when nothing changed. */
  readonly patch?: unknown;
}
