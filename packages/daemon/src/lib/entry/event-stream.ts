import { BlockBuffer, EventEndFinder } from '@chervilseam/model';

const DONE_EVENT = 'data: [DONE]';
/** Longest incomplete event that is buffered, in bytes. */
const EVENT_BYTES_MAX = 1024 * 1024;

/** What {@link EventStream.push} found. */
interface EventPart {
  /** Complete events to pass on, or `undefined` if none is complete yet. */
  readonly events: Buffer | undefined;
  /** Number of events that carry a token. */
  readonly tokenCount: number;
  /** Whether the end marker is among the events. */
  readonly isDone: boolean;
}

/**
 * Splits a stream of server-sent events at the ends of events, so that another engine can continue a
 * broken stream without an event that is truncated, lost or duplicated. Data is copied only when an
 * event arrives in several parts.
 */
export class EventStream {
  readonly #ends = new EventEndFinder();
  /** The beginning of an event that is not complete yet. */
  readonly #incomplete = new BlockBuffer();

  /**
   * @param data - the next bytes of the stream
   * @returns the events that are now complete, or `undefined` if an event is too long
   */
  push(data: Buffer): EventPart | undefined {
    const ends = this.#ends.push(data);
    const endAt = ends.at(-1);
    if (endAt === undefined) {
      this.#incomplete.append(data);
      if (this.#incomplete.length > EVENT_BYTES_MAX) return undefined;
      return { events: undefined, tokenCount: 0, isDone: false };
    }
    const events = this.#incomplete.takeWith(data.subarray(0, endAt));
    if (endAt < data.length) this.#incomplete.append(data.subarray(endAt));
    // The last two events of a stream carry no token: the one with the finish reason, and the end
    // marker.
    const isDone = events.includes(DONE_EVENT);
    return { events, tokenCount: ends.length - (isDone ? 2 : 0), isDone };
  }

  /** Drops an incomplete event, whose engine was lost. */
  reset(): void {
    this.#incomplete.clear();
    this.#ends.reset();
  }
}
