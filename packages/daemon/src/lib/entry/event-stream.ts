const EVENT_END = '\n\n';
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
  #incomplete: Buffer = Buffer.alloc(0);

  /**
   * @param data - the next bytes of the stream
   * @returns the events that are now complete, or `undefined` if an event is too long
   */
  push(data: Buffer): EventPart | undefined {
    const all = this.#incomplete.length === 0 ? data : Buffer.concat([this.#incomplete, data]);
    const last = all.lastIndexOf(EVENT_END);
    if (last < 0) {
      if (all.length > EVENT_BYTES_MAX) return undefined;
      this.#incomplete = all;
      return { events: undefined, tokenCount: 0, isDone: false };
    }
    const events = all.subarray(0, last + EVENT_END.length);
    this.#incomplete = all.subarray(last + EVENT_END.length);
    // The last two events of a stream carry no token: the one with the finish reason, and the end
    // marker.
    const isDone = events.includes(DONE_EVENT);
    return { events, tokenCount: EventStream.#countEvents(events) - (isDone ? 2 : 0), isDone };
  }

  /** Drops an incomplete event, whose engine was lost. */
  reset(): void {
    this.#incomplete = Buffer.alloc(0);
  }

  static #countEvents(events: Buffer): number {
    let count = 0;
    for (let at = events.indexOf(EVENT_END); at >= 0; at = events.indexOf(EVENT_END, at + 2)) {
      count += 1;
    }
    return count;
  }
}
