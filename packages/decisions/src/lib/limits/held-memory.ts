/** Bytes that count against a memory budget, as their owner sees them. */
export interface HeldMemory {
  /** Number of bytes that count now. */
  readonly bytes: number;
  /** @param bytes - number of bytes that count from now on; 0 ends it */
  readonly resize: (bytes: number) => void;
}
