import { EventSplitter } from '@chervilseam/decisions';
import type { CallerExchange } from '../ingress/caller-exchange.js';
import type { AnswerHead } from '../ports/answer-head.js';

/** Result of relaying a chunk of a stream. */
interface RelayResult {
  /** Whether the caller can take more data now; otherwise wait for `onDrain`. */
  readonly isWritable: boolean;
  /** Number of events that the chunk completed. */
  readonly eventCount: number;
  /** Time since the previous chunk, in milliseconds; left out for the first. */
  readonly gapMs?: number;
}

/** Relays a stream of events to a caller, over all attempts that resume it. */
export class StreamRelay {
  readonly #exchange: CallerExchange;
  readonly #nowMs: () => number;
  #splitter = new EventSplitter();
  #isOpen = false;
  #lastEvent: number | undefined;
  #firstChunkMs: number | undefined;
  #lastChunkMs = 0;
  #gapMaxMs = 0;

  /**
   * @param exchange - the caller's request and its response
   * @param nowMs - monotonic clock, in milliseconds
   */
  constructor(exchange: CallerExchange, nowMs: () => number) {
    this.#exchange = exchange;
    this.#nowMs = nowMs;
  }

  /** Whether the head has been sent to the caller: the answer can then only be continued or cut. */
  get isOpen(): boolean {
    return this.#isOpen;
  }

  /** Number of the last event that was sent to the caller. */
  get lastEvent(): number | undefined {
    return this.#lastEvent;
  }

  /** Number of bytes received of an event that is not complete yet. */
  get pendingBytes(): number {
    return this.#splitter.pendingBytes;
  }

  /** Memory that an event that is not complete yet takes, in bytes. */
  get heldBytes(): number {
    return this.#splitter.heldBytes;
  }

  /** Whether the data received from the attempt so far ends within an event. */
  get isWithinEvent(): boolean {
    return this.pendingBytes > 0;
  }

  /** @param answer - head of an attempt's answer; only the first attempt's is sent to the caller */
  open(answer: AnswerHead): void {
    if (!this.#isOpen) this.#exchange.head(answer.status, answer.headers);
    this.#isOpen = true;
    this.#splitter = new EventSplitter();
  }

  /**
   * Sends the complete events to the caller and buffers the rest.
   *
   * @param chunk - bytes from the attempt's endpoint
   * @returns whether more data may follow, and the time since the previous chunk
   */
  push(chunk: Buffer): RelayResult {
    const gapMs = this.#recordChunk();
    const events = this.#splitter.push(chunk);
    events.forEach(({ number, data }) => {
      // A resumed stream may repeat events that the caller has already.
      if (number !== undefined && number <= (this.#lastEvent ?? -1)) return;
      if (number !== undefined) this.#lastEvent = number;
      this.#exchange.write(data);
    });
    return { isWritable: this.#exchange.isWritable, eventCount: events.length, gapMs };
  }

  /**
   * @returns log fields: time from the request to the first chunk, and the longest time between two
   *   chunks, in milliseconds; empty without a chunk
   */
  timing(): Readonly<Record<string, number>> {
    if (this.#firstChunkMs === undefined) return {};
    return {
      firstAfterMs: Math.round(this.#firstChunkMs - this.#exchange.receivedMs),
      gapMaxMs: Math.round(this.#gapMaxMs),
    };
  }

  #recordChunk(): number | undefined {
    const nowMs = this.#nowMs();
    const gapMs = this.#firstChunkMs === undefined ? undefined : nowMs - this.#lastChunkMs;
    this.#firstChunkMs ??= nowMs;
    this.#lastChunkMs = nowMs;
    this.#gapMaxMs = Math.max(this.#gapMaxMs, gapMs ?? 0);
    return gapMs;
  }
}
