import type { KeyRecord } from './key-record.js';

/** The state of a partition of keys at an offset. */
export interface KeySnapshot {
  /** Offset of the last record that the state covers. */
  readonly offset: number;
  readonly keys: readonly KeyRecord[];
  /** Digest of all the other fields. */
  readonly digest: string;
}
