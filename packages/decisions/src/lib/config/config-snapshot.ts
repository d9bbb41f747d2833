import type { ConfigDecision } from './config-decision.js';
import type { ConfigObject } from './config-object.js';

/** The whole state of the fold at an offset. */
export interface ConfigSnapshot {
  /** Offset of the last record that the state covers. */
  readonly offset: number;
  /** Digest chained over all decisions so far: equal at equal offsets everywhere. */
  readonly chain: string;
  readonly objects: readonly ConfigObject[];
  /** Ids of the latest records, oldest first, so that a doubled record is known as one. */
  readonly recentIds: readonly string[];
  readonly history: readonly ConfigDecision[];
  /** Digest of all the other fields. */
  readonly digest: string;
}
