const EVENT_END = '\n\n';
const DONE_EVENT = 'data: [DONE]';
const EVENT_BYTES_MAX = 1024 * 1024;

/** What a part of an event stream held. */
interface EventPart {
  /** Whole events to hand on, or `undefined` when none is whole yet. */
  readonly events: Buffer | undefined;
  /** Events in it that carry tokens; a count. */
  readonly tokenCount: number;
  /** Whether it held the end marker. */
  readonly isDone: boolean;
}

/**
 * Cuts server-sent events at their ends, so that a broken stream can go on from another engine with
 * no event torn, lost or doubled. Costs one search for each event and copies only torn events.
 */
export class EventStream {
  #torn: Buffer = Buffer.alloc(0);

  /**
   * @param data - bytes as they arrived
   * @returns the events that are whole by now, or `undefined` when one is too long
   */
  push(data: Buffer): EventPart | undefined {
    const all = this.#torn.length === 0 ? data : Buffer.concat([this.#torn, data]);
    const last = all.lastIndexOf(EVENT_END);
    if (last < 0) {
      if (all.length > EVENT_BYTES_MAX) return undefined;
      this.#torn = all;
      return { events: undefined, tokenCount: 0, isDone: false };
    }
    const events = all.subarray(0, last + EVENT_END.length);
    this.#torn = all.subarray(last + EVENT_END.length);
    const isDone = events.includes(DONE_EVENT);
    return { events, tokenCount: EventStream.#count(events) - (isDone ? 2 : 0), isDone };
  }

  /** Drops a torn event, as when its engine is lost. */
  reset(): void {
    this.#torn = Buffer.alloc(0);
  }

  static #count(events: Buffer): number {
    let count = 0;
    for (let at = events.indexOf(EVENT_END); at >= 0; at = events.indexOf(EVENT_END, at + 2)) {
      count += 1;
    }
    return count;
  }
}
