/** Time after which the last call of an instance is forgotten, in milliseconds. */
const RETENTION_MS = 30_000;

interface LastCall {
  readonly startedMs: number;
  readonly sequence: number;
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
  isNewest(
    instance: string,
    { startedMs, sequence }: Pick<LastCall, 'startedMs' | 'sequence'>,
    nowMs: number,
  ): boolean {
    this.#forgetOld(nowMs);
    const last = this.#last.get(instance);
    const isOld =
      last !== undefined &&
      (startedMs < last.startedMs || (startedMs === last.startedMs && sequence <= last.sequence));
    if (!isOld) this.#last.set(instance, { startedMs, sequence, atMs: nowMs });
    return !isOld;
  }

  #forgetOld(nowMs: number): void {
    if (nowMs < this.#expiryMs) return;
    this.#expiryMs = nowMs + RETENTION_MS;
    this.#last.forEach(({ atMs }, instance) => {
      if (nowMs > atMs + RETENTION_MS) this.#last.delete(instance);
    });
  }
}
