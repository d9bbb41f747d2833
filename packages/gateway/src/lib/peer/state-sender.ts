import { diffOf } from './diff-of.js';
import type { StateUpdate } from './state-update.js';

/** Sends the versions of a value to one receiver, as changes to the version that the receiver has. */
export class StateSender<T> {
  #sent: { readonly version: number; readonly value: T } | undefined;

  /**
   * @param value - the value to send
   * @param acknowledged - version that the receiver has, if it is known to have one
   * @returns the message to the receiver
   */
  next(value: T, acknowledged: number | undefined): StateUpdate<T> {
    const previous = this.#sent;
    const version = (previous?.version ?? 0) + 1;
    this.#sent = { version, value };
    if (!previous || previous.version !== acknowledged) return { version, value };
    const patch = diffOf(previous.value, value);
    return { version, base: previous.version, ...(patch !== undefined && { patch }) };
  }
}
