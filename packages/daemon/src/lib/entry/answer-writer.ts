import { BlockBuffer, Outcome } from '@chervilseam/model';
import type { DispatchHead } from '../peer/dispatch-head.js';
import type { CallerReply } from './caller-reply.js';
import type { CallerRequest } from './caller-request.js';
import { EventStream } from './event-stream.js';

/** Longest answer that can be delivered in one piece, in bytes. */
const WHOLE_ANSWER_BYTES_MAX = 16 * 1024 * 1024;
/** Longest streamed answer that is kept for replay under its idempotency key, in bytes. */
const CAPTURE_BYTES_MAX = 2_048;
/** Headers of an endpoint's answer that are passed on to the caller. */
const FORWARDED_HEADERS = ['content-type', 'content-length', 'content-encoding', 'location'];
const STATUS_OK = 200;

/**
 * Result of writing a part of an answer. `more`: the next part may follow at once. `pause`: the
 * attempt must pause until the caller has read. `unusable`: the answer, or one event of it, is too
 * large to be delivered.
 */
type WriteResult = 'more' | 'pause' | 'unusable';

/**
 * Joins the answers of a request's attempts into one answer to the caller. It is delivered in one piece
 * at the end, as a stream of complete server-sent events, or in chunks as it arrives.
 */
export class AnswerWriter {
  readonly #reply: CallerReply;
  readonly #requestedMode: CallerRequest['deliveryMode'];
  readonly #events = new EventStream();
  /** What is kept of the answer: all of it for one that is delivered in one piece, else its beginning. */
  readonly #kept = new BlockBuffer();
  #head: DispatchHead | undefined;
  #isHeadSent = false;
  #isEndReceived = false;
  #tokenCount = 0;

  /**
   * @param reply - writes to the caller
   * @param deliveryMode - how the caller wants the answer delivered
   */
  constructor(reply: CallerReply, deliveryMode: CallerRequest['deliveryMode']) {
    this.#reply = reply;
    this.#requestedMode = deliveryMode;
  }

  /** Number of tokens that were sent to the caller. */
  get tokenCount(): number {
    return this.#tokenCount;
  }

  /** Whether the head of an answer was sent to the caller. */
  get isHeadSent(): boolean {
    return this.#isHeadSent;
  }

  /** Whether another attempt can continue the answer without the caller noticing. */
  get isResumable(): boolean {
    return !this.#isHeadSent || this.#requestedMode === 'events';
  }

  /** Whether an answer that has ended is complete: an event stream needs its end marker. */
  get isWhole(): boolean {
    return this.#deliveryMode !== 'events' || this.#isEndReceived;
  }

  /** HTTP status of the answer. */
  get status(): number {
    return this.#head?.status ?? STATUS_OK;
  }

  /** The answer's body, or `undefined` if it was too long to be kept. */
  get captured(): Buffer | undefined {
    const isKept = this.#deliveryMode === 'whole' || this.#kept.length <= CAPTURE_BYTES_MAX;
    return isKept ? this.#kept.join() : undefined;
  }

  /** @param head - head of an attempt's answer */
  onHead(head: DispatchHead): void {
    this.#head = head;
    if (this.#deliveryMode !== 'whole') this.#sendHead(head);
  }

  /**
   * @param data - part of an attempt's answer
   * @returns how the attempt goes on
   */
  onData(data: Uint8Array): WriteResult {
    const handlers = {
      whole: () => this.#collect(data),
      events: () => this.#forwardEvents(data),
      pipe: () => this.#forward(data),
    };
    return handlers[this.#deliveryMode]();
  }

  /**
   * Discards the parts of a failed attempt that are kept here, also those kept for replay, so that
   * another attempt can continue.
   */
  reset(): void {
    this.#kept.clear();
    this.#events.reset();
  }

  /** Ends a complete answer. */
  end(): void {
    if (this.#deliveryMode === 'whole' && this.#head) {
      this.#sendHead(this.#head);
      this.#reply.write(this.#kept.join());
    }
    this.#reply.end(Outcome.ran);
  }

  // An answer with a status other than 200 is passed on as it arrives, even if the caller asked for
  // events.
  get #deliveryMode(): CallerRequest['deliveryMode'] {
    const isError = this.#head !== undefined && this.#head.status !== STATUS_OK;
    return isError && this.#requestedMode === 'events' ? 'pipe' : this.#requestedMode;
  }

  #sendHead({ status, headers }: DispatchHead): void {
    if (this.#isHeadSent) return;
    this.#isHeadSent = true;
    const forwarded = FORWARDED_HEADERS.filter((name) => headers[name] !== undefined);
    const chosen = Object.fromEntries(forwarded.map((name) => [name, headers[name]]));
    this.#reply.head(status, { ...chosen, 'chervilseam-outcome': Outcome.ran });
  }

  #collect(data: Uint8Array): WriteResult {
    this.#kept.append(data);
    return this.#kept.length <= WHOLE_ANSWER_BYTES_MAX ? 'more' : 'unusable';
  }

  #forwardEvents(data: Uint8Array): WriteResult {
    const part = this.#events.push(Buffer.from(data));
    if (!part) return 'unusable';
    if (!part.events) return 'more';
    this.#tokenCount += part.tokenCount;
    this.#isEndReceived ||= part.isDone;
    return this.#forward(part.events);
  }

  #forward(data: Uint8Array): WriteResult {
    if (this.#kept.length <= CAPTURE_BYTES_MAX) this.#kept.append(data);
    return this.#reply.write(data) ? 'more' : 'pause';
  }
}
