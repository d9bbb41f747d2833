/** A body of a request that is being read. */
export interface ReadingBody {
  /** When reading began, by a monotonic clock, in milliseconds. */
  readonly startedMs: number;
  /** When its last byte was read, by the same clock, in milliseconds; now if it is left unread. */
  readonly lastByteMs: number;
  /** Bytes of memory that it holds. */
  readonly heldBytes: number;
}
