const SEPARATOR = Buffer.from('\n\n');
const ID_LINE = /^id:[ ]?(\d+)[ \t]*$/m;

/** A whole event of a stream. */
interface StreamEvent {
  /** The event's number, or `undefined` when it has none. */
  readonly number: number | undefined;
  /** Its bytes, with the empty line that ends it. */
  readonly data: Buffer;
}

/** Cuts a stream into whole events, so that a stream that breaks off never ends in half of one. */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** Bytes of an event that has not ended yet. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /**
   * @param chunk - bytes as they arrived
   * @returns the events that are whole by now
   */
  push(chunk: Buffer): StreamEvent[] {
    this.#pending = this.#pending.length === 0 ? chunk : Buffer.concat([this.#pending, chunk]);
    const events: StreamEvent[] = [];
    let at = 0;
    let end = this.#pending.indexOf(SEPARATOR);
    while (end >= 0) {
      const data = this.#pending.subarray(at, end + SEPARATOR.length);
      events.push({ number: EventSplitter.#number(data), data });
      at = end + SEPARATOR.length;
      end = this.#pending.indexOf(SEPARATOR, at);
    }
    this.#pending = this.#pending.subarray(at);
    return events;
  }

  /** @returns what is left after the last whole event */
  rest(): Buffer {
    return this.#pending;
  }

  static #number(data: Buffer): number | undefined {
    const found = ID_LINE.exec(data.toString('latin1'));
    return found ? Number(found[1]) : undefined;
  }
}
