import { isNewer } from '../peer/is-newer.js';
import type { SequencedMessage } from '../peer/sequenced-message.js';

/** Time after which the last call of an instance is forgotten, in milliseconds. */
const RETENTION_MS = 30_000;

interface LastCall {
  readonly call: SequencedMessage;
  readonly atMs: number;
}

/** Recognizes calls that were overtaken by a later one of the same instance. */
export class CallOrder {
  readonly #last = new Map<string, LastCall>();
  #expiryMs = 0;

  /**
   * @param instance - the caller
   * @param call - start of its process, and number of the call in it
   * @param nowMs - monotonic clock, in milliseconds
   * @returns whether no later call of the instance is known
   */
  isNewest(instance: string, call: SequencedMessage, nowMs: number): boolean {
    this.#forgetOld(nowMs);
    const isNewest = isNewer(call, this.#last.get(instance)?.call);
    if (isNewest) this.#last.set(instance, { call, atMs: nowMs });
    return isNewest;
  }

  #forgetOld(nowMs: number): void {
    if (nowMs < this.#expiryMs) return;
    this.#expiryMs = nowMs + RETENTION_MS;
    this.#last.forEach(({ atMs }, instance) => {
      if (nowMs > atMs + RETENTION_MS) this.#last.delete(instance);
    });
  }
}
