import type { Dispatcher } from 'undici';
import type { AnswerHead } from '../ports/answer-head.js';

/** How an attempt failed. */
export interface AttemptFailure {
  /** Whether bytes of the request may have reached the endpoint. */
  readonly wasSent: boolean;
  readonly reason: string;
}

/** Hears what becomes of an attempt; the last call is one of `onEnd` and `onFail`. */
export interface AttemptListener {
  onHead(head: AnswerHead): void;
  /** @returns whether more may follow at once */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onFail(failure: AttemptFailure): void;
}

/** What an attempt sends. */
interface AttemptRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
}

const FIRST_FINAL_STATUS = 200;

/** One request to one endpoint. */
export class EndpointAttempt implements Dispatcher.DispatchHandler {
  readonly #listener: AttemptListener;
  readonly #readAnswer: (status: number, headers: readonly Buffer[]) => AnswerHead;
  readonly #isResetting: () => boolean;
  #isFramed = true;
  #abort: (() => void) | undefined;
  #resume: (() => void) | undefined;
  #isOver = false;

  /**
   * @param listener - hears what becomes of it
   * @param readAnswer - decodes the head of the answer
   * @param isResetting - tells whether a connection to the endpoint is being reset in this very turn
   */
  constructor(
    listener: AttemptListener,
    readAnswer: (status: number, headers: readonly Buffer[]) => AnswerHead,
    isResetting: () => boolean,
  ) {
    this.#isResetting = isResetting;
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
        method: method as Dispatcher.HttpMethod,
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
    this.#isFramed = answer.isFramed;
    this.#listener.onHead(answer);
    return true;
  }

  onData(chunk: Buffer): boolean {
    return this.#isOver || this.#listener.onData(chunk);
  }

  onComplete(): void {
    if (this.#isOver) return;
    // The client library takes a reset for the end of an answer that ends with its connection.
    if (!this.#isFramed && this.#isResetting()) {
      this.onError(new Error('reset within an answer without a length'));
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
