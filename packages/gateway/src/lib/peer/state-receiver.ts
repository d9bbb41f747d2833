import { applyPatch } from './apply-patch.js';
import type { StateUpdate } from './state-update.js';

/** Restores the versions of a value from the messages of one sender. */
export class StateReceiver<T> {
  #received: { readonly version: number; readonly value: T } | undefined;

  /** Version of the latest restored value, to acknowledge to the sender. */
  get version(): number | undefined {
    return this.#received?.version;
  }

  /**
   * @param update - the sender's message
   * @returns the value, or `undefined` when the message changes a version that is not known here; the
   *   sender then has to send the whole value
   */
  apply({ version, value, base, patch }: StateUpdate<T>): T | undefined {
    const known = this.#received;
    if (value === undefined && (!known || known.version !== base)) {
      this.#received = undefined;
      return undefined;
    }
    const next = value ?? this.#patched(patch);
    this.#received = { version, value: next };
    return next;
  }

  #patched(patch: unknown): T {
    const { value } = this.#received as { readonly value: T };
    return patch === undefined ? value : (applyPatch(value, patch) as T);
  }
}
