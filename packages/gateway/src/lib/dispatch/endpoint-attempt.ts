import type { Dispatcher } from 'undici';
import { ConnectionEnding } from '../feed/connection-ending.js';
import { AnswerFraming } from '../ports/answer-framing.js';
import type { AnswerHead } from '../ports/answer-head.js';
import type { AttemptListener } from './attempt-listener.js';

/** What an attempt sends. */
interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
}

/** Ends of a connection that leave an answer incomplete, by how its end is known. */
const brokenBy: Readonly<Record<AnswerFraming, readonly ConnectionEnding[]>> = {
  // The client library compares the length itself.
  [AnswerFraming.length]: [],
  [AnswerFraming.chunks]: [ConnectionEnding.closed, ConnectionEnding.reset],
  // A crash within such an answer was seen to close the connection in good order: nothing shows that
  // the body is whole, so it is never passed on as whole.
  [AnswerFraming.connection]: [ConnectionEnding.closed, ConnectionEnding.reset],
};

const FIRST_FINAL_STATUS = 200;

/** One request to one endpoint. */
export class EndpointAttempt implements Dispatcher.DispatchHandler {
  readonly #listener: AttemptListener;
  readonly #readAnswer: (status: number, headers: readonly Buffer[]) => AnswerHead;
  readonly #ending: () => ConnectionEnding;
  #framing: AnswerFraming = AnswerFraming.length;
  #abort: (() => void) | undefined;
  #resume: (() => void) | undefined;
  #isOver = false;

  /**
   * @param listener - hears what becomes of it
   * @param readAnswer - decodes the head of the answer
   * @param ending - tells whether a connection to the endpoint is ending in this very turn
   */
  constructor(
    listener: AttemptListener,
    readAnswer: (status: number, headers: readonly Buffer[]) => AnswerHead,
    ending: () => ConnectionEnding,
  ) {
    this.#ending = ending;
    this.#listener = listener;
    this.#readAnswer = readAnswer;
  }

  /**
   * Sends the request.
   *
   * @param dispatcher - connections to the endpoint
   * @param request - what to send
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

  /** Gives up: the endpoint sees its connection closed, and nothing more is heard. */
  cancel(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#abort?.();
  }

  /** Lets an answer that was held back go on. */
  resume(): void {
    this.#resume?.();
  }

  onConnect(abort: () => void): void {
    if (this.#isOver) {
      abort();
      return;
    }
    // From here on bytes may be on the wire; a failure before it proves that nothing ran.
    this.#abort = abort;
  }

  onHeaders(status: number, headers: Buffer[], resume: () => void): boolean {
    if (status < FIRST_FINAL_STATUS || this.#isOver) return true;
    this.#resume = resume;
    const answer = this.#readAnswer(status, headers);
    this.#framing = answer.framing;
    this.#listener.onHead(answer);
    return true;
  }

  onData(chunk: Buffer): boolean {
    return this.#isOver || this.#listener.onData(chunk);
  }

  onComplete(): void {
    if (this.#isOver) return;
    // Where an answer announced that its connection will close, the client library takes any end of
    // the connection for the end of the answer.
    if (brokenBy[this.#framing].includes(this.#ending())) {
      this.onError(new Error('the connection ended within the answer'));
      return;
    }
    this.#isOver = true;
    this.#listener.onEnd();
  }

  onError(error: Error): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#listener.onFail({ wasSent: this.#abort !== undefined, reason: error.message });
  }
}
