/** An object of the configuration in force. */
export interface ConfigObject {
  readonly kind: string;
  readonly name: string;
  /** Offset of the record that changed it last. */
  readonly revision: number;
  readonly author: string;
  readonly body: Readonly<Record<string, unknown>>;
}
