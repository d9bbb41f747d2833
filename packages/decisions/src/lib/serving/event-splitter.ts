import { BlockBuffer, EventEndFinder } from '@chervilseam/model';

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
  readonly #ends = new EventEndFinder();
  /** The beginning of an event that is not complete yet. */
  readonly #pending = new BlockBuffer();

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes(): number {
    return this.#pending.length;
  }

  /** Memory that an incomplete event takes, in bytes. */
  get heldBytes(): number {
    return this.#pending.heldBytes;
  }

  /**
   * Adds received bytes.
   *
   * @param chunk - bytes in the order of arrival
   * @returns the events that are complete now
   */
  push(chunk: Buffer): StreamEvent[] {
    let startAt = 0;
    const events = this.#ends.push(chunk).map((endAt) => {
      const data = this.#pending.takeWith(chunk.subarray(startAt, endAt));
      startAt = endAt;
      return { number: EventSplitter.#number(data), data };
    });
    if (startAt < chunk.length) this.#pending.append(chunk.subarray(startAt));
    return events;
  }

  static #number(data: Buffer): number | undefined {
    const found = ID_LINE.exec(data.toString('latin1'));
    return found ? Number(found[1]) : undefined;
  }
}
