import type { ConfigDecision } from './config-decision.js';
import type { ConfigObject } from './config-object.js';

/** The complete state of the configuration fold at an offset. */
export interface ConfigSnapshot {
  /** Offset of the last record that the state covers. */
  readonly offset: number;
  /** Hash chain over all decisions so far; at the same offset it is equal on every instance. */
  readonly chain: string;
  readonly objects: readonly ConfigObject[];
  /** Ids of the latest records, oldest first, by which duplicate records are recognized. */
  readonly recentIds: readonly string[];
  /** The latest decisions, oldest first. */
  readonly history: readonly ConfigDecision[];
  /** Digest of all the other fields. */
  readonly digest: string;
}
