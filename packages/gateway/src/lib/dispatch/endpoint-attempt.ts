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

  /** Resumes reading an answer that was paused because the caller could not take more data. */
  resume(): void {
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
    return this.#isOver || this.#listener.onData(chunk);
  }

  onComplete(): void {
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
    if (this.#isOver) return;
    this.#isOver = true;
    const wasSent = this.#abort !== undefined;
    const isRefused = !wasSent && (error as { code?: string }).code === CONNECTION_REFUSED;
    this.#listener.onFail({ wasSent, isBroken: wasSent, isRefused, reason: error.message });
  }
}
