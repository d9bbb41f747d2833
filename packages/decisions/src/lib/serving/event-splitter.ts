const SEPARATOR = Buffer.from('\n\n');
const ID_LINE = /^id:[ ]?(\d+)[ \t]*$/m;

/** A complete event of a server-sent event stream. */
interface StreamEvent {
  /** Number in the event's `id` line, or `undefined` when it has none. */
  readonly number: number | undefined;
  /** The event's bytes, including the empty line that ends it. */
  readonly data: Buffer;
}

/**
 * Splits a stream into complete events, so that a stream that breaks off never ends within an
 * event.
 */
export class EventSplitter {
  #buffer: Buffer = Buffer.alloc(0);

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.#buffer.length;
  }

  /**
   * Adds received bytes.
   *
   * @param chunk - bytes in the order of arrival
   * @returns the events that are complete now
   */
  push(chunk: Buffer): StreamEvent[] {
    this.#buffer = this.#buffer.length === 0 ? chunk : Buffer.concat([this.#buffer, chunk]);
    const events: StreamEvent[] = [];
    let startAt = 0;
    let end = this.#buffer.indexOf(SEPARATOR);
    while (end >= 0) {
      const data = this.#buffer.subarray(startAt, end + SEPARATOR.length);
      events.push({ number: EventSplitter.#number(data), data });
      startAt = end + SEPARATOR.length;
      end = this.#buffer.indexOf(SEPARATOR, startAt);
    }
    this.#buffer = this.#buffer.subarray(startAt);
    return events;
  }

  /** @returns bytes after the last complete event */
  remainder(): Buffer {
    return this.#buffer;
  }

  static #number(data: Buffer): number | undefined {
    const found = ID_LINE.exec(data.toString('latin1'));
    return found ? Number(found[1]) : undefined;
  }
}
