import type { ConfigKind } from './config-kind.js';

/** One change of one object, as it stands in a configuration record. */
export interface ConfigChange {
  /** Kind of the object; a newer version may know more kinds than this one. */
  readonly kind: ConfigKind | (string & {});
  readonly name: string;
  /** Offset of the record that last changed the object as its author saw it; 0 for a new object. */
  readonly baseRevision: number;
  /** The whole new body, or `null` to delete the object. */
  readonly body: Readonly<Record<string, unknown>> | null;
}
