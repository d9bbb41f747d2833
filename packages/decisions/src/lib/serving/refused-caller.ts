/** A caller whose request was refused with `Retry-After`. */
export interface RefusedCaller {
  /** End of its `Retry-After`, by a monotonic clock, in milliseconds. */
  readonly returnMs: number;
  /** Its deadline, by the same clock, in milliseconds: if it is earlier, the caller does not return. */
  readonly deadlineMs: number;
}
