import { BlockBuffer } from '@chervilseam/model';
import type { Dispatcher } from 'undici';
import { ConnectionEnding } from '../feed/connection-ending.js';
import { AnswerFraming } from '../ports/answer-framing.js';
import type { AnswerHead } from '../ports/answer-head.js';
import type { AttemptListener } from './attempt-listener.js';
import { CONNECTION_REFUSED } from './connection-refused.js';

/** Request that an attempt sends. */
interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
}

/** For each framing of a body: the endings of a connection that mean that the body may be truncated. */
const truncatedBy: Readonly<Record<AnswerFraming, readonly ConnectionEnding[]>> = {
  // The HTTP client compares the length itself and reports an error.
  [AnswerFraming.length]: [],
  [AnswerFraming.chunks]: [ConnectionEnding.closed, ConnectionEnding.reset],
  // A normal close ends such an answer, but is also how the system closes the connections of a process
  // that has crashed.
  [AnswerFraming.connection]: [ConnectionEnding.reset],
};

/** Lower status codes are interim responses (1xx). */
const FIRST_FINAL_STATUS = 200;
/** Higher status codes mean nothing in HTTP: whatever sent them has not answered. */
const LAST_FINAL_STATUS = 599;
/** Longest part of a body that is passed on together with others that were read with it, in bytes. */
const JOINED_BYTES_MAX = 1024;
/** Number of short parts after which the other connections get their turn. */
const TURN_PART_COUNT_MAX = 1_000;
/** Number of interim responses from which an endpoint is taken for faulty. */
const INTERIM_COUNT_MAX = 16;

/** Sends a request to an endpoint once and reports the answer to a listener. */
export class EndpointAttempt implements Dispatcher.DispatchHandler {
  readonly #listener: AttemptListener;
  readonly #readAnswer: (status: number, headers: readonly Buffer[]) => AnswerHead;
  readonly #connectionEnding: () => ConnectionEnding;
  #framing: AnswerFraming = AnswerFraming.length;
  #abort: (() => void) | undefined;
  #resume: (() => void) | undefined;
  #isOver = false;
  #interimCount = 0;
  #bodyBytes = 0;
  #partCount = 0;
  /** Short part of the body that has not been passed on yet. */
  #firstPart: Buffer | undefined;
  /** Short parts after it. Passing on each by itself costs far more than reading it. */
  readonly #furtherParts = new BlockBuffer();
  /** Number of short parts since the last ones were passed on; it stays at its limit until the next turn. */
  #turnPartCount = 0;
  /** Whether the listener can take more data. */
  #isWritable = true;

  /**
   * @param listener - called with the parts of the answer, its end or its failure
   * @param readAnswer - decodes the head of the answer
   * @param connectionEnding - returns how a connection to the endpoint is ending in the current turn of
   *   the event loop, if one is
   */
  constructor(
    listener: AttemptListener,
    readAnswer: (status: number, headers: readonly Buffer[]) => AnswerHead,
    connectionEnding: () => ConnectionEnding,
  ) {
    this.#connectionEnding = connectionEnding;
    this.#listener = listener;
    this.#readAnswer = readAnswer;
  }

  /**
   * Sends the request.
   *
   * @param dispatcher - connection pool of the endpoint
   * @param request - the request to send
   */
  send(dispatcher: Dispatcher, { method, path, headers, body }: AttemptRequest): void {
    dispatcher.dispatch(
      {
        method,
        path,
        headers,
        body: body.length > 0 ? body : null,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      this,
    );
  }

  /** Cancels the attempt: closes its connection, and does not call the listener any more. */
  cancel(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#abort?.();
  }

  /** What has arrived of the answer's body: its length in bytes and the number of parts that it came in. */
  get received(): { readonly bodyBytes: number; readonly bodyParts: number } {
    return { bodyBytes: this.#bodyBytes, bodyParts: this.#partCount };
  }

  /** Resumes reading an answer that was paused because the caller could not take more data. */
  resume(): void {
    this.#isWritable = true;
    this.#resume?.();
  }

  onConnect(abort: () => void): void {
    if (this.#isOver) {
      abort();
      return;
    }
    // From now on the endpoint may have received bytes and run the request. A failure before this point
    // proves that it did not.
    this.#abort = abort;
  }

  onHeaders(status: number, headers: Buffer[], resume: () => void): boolean {
    if (this.#isOver) return true;
    if (status < FIRST_FINAL_STATUS) {
      this.#interimCount += 1;
      if (this.#interimCount > INTERIM_COUNT_MAX) this.#giveUp('too many interim responses');
      return true;
    }
    if (status > LAST_FINAL_STATUS) {
      this.#giveUp(`answer with status ${status}, which HTTP does not have`);
      return true;
    }
    this.#resume = resume;
    const answer = this.#readAnswer(status, headers);
    this.#framing = answer.framing;
    this.#listener.onHead(answer);
    return true;
  }

  // Closes the connection and reports a failure.
  #giveUp(reason: string): void {
    const abort = this.#abort;
    this.onError(new Error(reason));
    abort?.();
  }

  onData(chunk: Buffer): boolean {
    if (this.#isOver) return true;
    this.#bodyBytes += chunk.length;
    this.#partCount += 1;
    if (chunk.length <= JOINED_BYTES_MAX) {
      this.#join(chunk);
      return this.#isWritable && this.#turnPartCount < TURN_PART_COUNT_MAX;
    }
    this.#passJoined();
    return this.#pass(chunk);
  }

  // Keeps a part until all that was read with it has been parsed.
  #join(part: Buffer): void {
    this.#turnPartCount += 1;
    if (this.#turnPartCount === TURN_PART_COUNT_MAX) setImmediate(() => this.#startTurn());
    if (this.#firstPart) {
      this.#furtherParts.append(part);
      return;
    }
    this.#firstPart = part;
    queueMicrotask(() => this.#passJoined());
  }

  #startTurn(): void {
    this.#turnPartCount = 0;
    if (!this.#isOver && this.#isWritable) this.#resume?.();
  }

  #passJoined(): void {
    const first = this.#firstPart;
    if (!first) return;
    if (this.#turnPartCount < TURN_PART_COUNT_MAX) this.#turnPartCount = 0;
    this.#firstPart = undefined;
    this.#pass(first);
    if (this.#furtherParts.length > 0) this.#pass(this.#furtherParts.take());
  }

  #pass(part: Buffer): boolean {
    this.#isWritable = this.#isOver || this.#listener.onData(part);
    return this.#isWritable;
  }

  onComplete(): void {
    this.#passJoined();
    if (this.#isOver) return;
    // The HTTP client takes any end of the connection for the end of an answer that announced
    // `Connection: close`, also when the body is truncated.
    if (truncatedBy[this.#framing].includes(this.#connectionEnding())) {
      this.onError(new Error('the connection ended within the answer'));
      return;
    }
    this.#isOver = true;
    this.#listener.onEnd(this.#framing !== AnswerFraming.connection);
  }

  onError(error: Error): void {
    this.#passJoined();
    if (this.#isOver) return;
    this.#isOver = true;
    const wasSent = this.#abort !== undefined;
    const isRefused = !wasSent && (error as { code?: string }).code === CONNECTION_REFUSED;
    this.#listener.onFail({ wasSent, isBroken: wasSent, isRefused, reason: error.message });
  }
}
