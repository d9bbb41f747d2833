import { Outcome } from '@chervilseam/model';
import type { DispatchHead } from '../peer/dispatch-head.js';
import type { CallerReply } from './caller-reply.js';
import type { CallerRequest } from './caller-request.js';
import { EventStream } from './event-stream.js';

const WHOLE_ANSWER_BYTES_MAX = 16 * 1024 * 1024;
/** Piped answers up to this length are kept until their end, for the key ledger, in bytes. */
const CAPTURE_BYTES_MAX = 2_048;
/** Headers of an endpoint's answer that a caller gets. */
const FORWARDED_HEADERS = ['content-type', 'content-length', 'content-encoding', 'location'];
const STATUS_OK = 200;

/** What became of a part of an answer: more is welcome, or not now, or it is no answer to give. */
type WriteResult = 'more' | 'pause' | 'unusable';

/**
 * Writes the answers of a request's attempts to its caller as one: in whole at the end, as events
 * that are never torn, or piped through.
 */
export class AnswerWriter {
  readonly #reply: CallerReply;
  readonly #wanted: CallerRequest['carriage'];
  readonly #events = new EventStream();
  #parts: Uint8Array[] = [];
  #bytes = 0;
  #head: DispatchHead | undefined;
  #isHeadSent = false;
  #isEndSeen = false;
  #tokenCount = 0;

  /**
   * @param reply - the way back to the caller
   * @param carriage - how the answer is carried
   */
  constructor(reply: CallerReply, carriage: CallerRequest['carriage']) {
    this.#reply = reply;
    this.#wanted = carriage;
  }

  /** Tokens that the caller has; a count. */
  get tokenCount(): number {
    return this.#tokenCount;
  }

  /** Whether the caller has the head of an answer. */
  get isHeadSent(): boolean {
    return this.#isHeadSent;
  }

  /** Whether another attempt can go on from here without the caller seeing a seam. */
  get isResumable(): boolean {
    return !this.#isHeadSent || this.#wanted === 'events';
  }

  /** Whether the answer has all that shows it to be whole. */
  get isWhole(): boolean {
    return this.#carriage !== 'events' || this.#isEndSeen;
  }

  /** HTTP status of the answer. */
  get status(): number {
    return this.#head?.status ?? STATUS_OK;
  }

  /** The answer's body, if it is short enough to be kept. */
  get captured(): Buffer | undefined {
    const isKept = this.#carriage === 'whole' || this.#bytes <= CAPTURE_BYTES_MAX;
    return isKept ? Buffer.concat(this.#parts) : undefined;
  }

  /** @param head - head of an attempt's answer */
  onHead(head: DispatchHead): void {
    this.#head = head;
    if (this.#carriage !== 'whole') this.#sendHead(head);
  }

  /**
   * @param data - part of an attempt's answer
   * @returns whether more is welcome
   */
  onData(data: Uint8Array): WriteResult {
    const handlers = {
      whole: () => this.#collect(data),
      events: () => this.#forwardEvents(data),
      pipe: () => this.#forward(data),
    };
    return handlers[this.#carriage]();
  }

  /** Forgets what an attempt left unfinished, so that another can go on. */
  reset(): void {
    this.#parts = [];
    this.#bytes = 0;
    this.#events.reset();
  }

  /** Ends the answer whole. */
  end(): void {
    if (this.#carriage === 'whole' && this.#head) {
      this.#sendHead(this.#head);
      this.#reply.write(Buffer.concat(this.#parts));
    }
    this.#reply.end(Outcome.ran);
  }

  // An error of the endpoint comes as it is, whatever the caller asked for.
  get #carriage(): CallerRequest['carriage'] {
    const isError = this.#head !== undefined && this.#head.status !== STATUS_OK;
    return isError && this.#wanted === 'events' ? 'pipe' : this.#wanted;
  }

  #sendHead({ status, headers }: DispatchHead): void {
    if (this.#isHeadSent) return;
    this.#isHeadSent = true;
    const forwarded = FORWARDED_HEADERS.filter((name) => headers[name] !== undefined);
    const chosen = Object.fromEntries(forwarded.map((name) => [name, headers[name]]));
    this.#reply.head(status, { ...chosen, 'chervilseam-outcome': Outcome.ran });
  }

  #collect(data: Uint8Array): WriteResult {
    this.#parts.push(data);
    this.#bytes += data.length;
    return this.#bytes <= WHOLE_ANSWER_BYTES_MAX ? 'more' : 'unusable';
  }

  #forwardEvents(data: Uint8Array): WriteResult {
    const part = this.#events.push(Buffer.from(data));
    if (!part) return 'unusable';
    if (!part.events) return 'more';
    this.#tokenCount += part.tokenCount;
    this.#isEndSeen ||= part.isDone;
    return this.#forward(part.events);
  }

  #forward(data: Uint8Array): WriteResult {
    if (this.#bytes <= CAPTURE_BYTES_MAX) {
      this.#parts.push(data);
      this.#bytes += data.length;
    }
    return this.#reply.write(data) ? 'more' : 'pause';
  }
}
