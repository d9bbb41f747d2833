/** An object of the active configuration. */
export interface ConfigObject {
  readonly kind: string;
  readonly name: string;
  /** Offset of the record that last changed the object. */
  readonly revision: number;
  /** Author of that record. */
  readonly author: string;
  readonly body: Readonly<Record<string, unknown>>;
}
