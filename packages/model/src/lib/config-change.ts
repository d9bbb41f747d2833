import type { ConfigKind } from './config-kind.js';

/** A change of one configuration object, as written in a record of the log. */
export interface ConfigChange {
  /** Kind of the object; records written by a newer version may have kinds unknown to this one. */
  readonly kind: ConfigKind | (string & {});
  readonly name: string;
  /**
   * Log offset of the latest change of the object that the author of this change had read; 0 for a
   * new object. Used to detect conflicting changes.
   */
  readonly baseRevision: number;
  /** The complete new body, or `null` to delete the object. */
  readonly body: Readonly<Record<string, unknown>> | null;
}
