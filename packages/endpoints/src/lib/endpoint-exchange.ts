import { PassThrough } from 'node:stream';
import { Outcome } from '@chervilseam/model';
import type { Dispatcher } from 'undici';
import type { EndpointListener } from './endpoint-listener.js';
import type { EndpointRequest } from './endpoint-request.js';

/** Header with which an endpoint states that it refused a request and ran no part of it. */
const NOT_RUN_HEADER = 'x-not-run';

const headerRecord = (raw: Buffer[]): Record<string, string> => {
  const headers: Record<string, string> = {};
  for (let index = 0; index + 1 < raw.length; index += 2) {
    headers[raw[index].toString('latin1').toLowerCase()] = raw[index + 1].toString('latin1');
  }
  return headers;
};

/** One request to an endpoint and its answer. */
export class EndpointExchange implements Dispatcher.DispatchHandler {
  readonly #listener: EndpointListener;
  readonly #body: PassThrough | undefined;
  /** Closes the request's connection; `undefined` until the request has one. */
  #abort: (() => void) | undefined;
  /** Resumes reading the answer; `undefined` until its head has arrived. */
  #resume: (() => void) | undefined;
  /** Whether a part of the request may have been sent. */
  #hasStarted = false;
  /** Whether the endpoint stated that it did not run the request. */
  #isRefused = false;
  #isDone = false;
  #isCancelled = false;
  #isTimeout = false;
  #headTimer: NodeJS.Timeout | undefined;

  /**
   * @param dispatcher - connections to the endpoints (undici)
   * @param request - the request to send
   * @param listener - receives the answer
   */
  constructor(dispatcher: Dispatcher, request: EndpointRequest, listener: EndpointListener) {
    this.#listener = listener;
    if (request.isBodyStreamed) {
      this.#body = new PassThrough();
      this.#body.on('drain', () => listener.onDrain());
    }
    this.#headTimer = setTimeout(() => {
      this.#isTimeout = true;
      this.cancel();
    }, request.headTimeoutMs);
    dispatcher.dispatch(
      {
        origin: request.origin,
        method: request.method,
        path: request.path,
        headers: { ...request.headers },
        body: this.#body ?? request.body ?? null,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      this,
    );
  }

  /**
   * Sends a part of a streamed body.
   *
   * @param data - the bytes to send
   * @returns whether more may be sent now; otherwise wait for `onDrain`
   */
  write(data: Uint8Array): boolean {
    return this.#body?.write(data) ?? true;
  }

  /** Ends a streamed body. */
  endBody(): void {
    this.#body?.end();
  }

  /** Resumes an answer after `onData` returned `false`. */
  resume(): void {
    this.#resume?.();
  }

  /** Cancels the exchange by closing its connection to the endpoint. */
  cancel(): void {
    if (this.#isDone) return;
    this.#isCancelled = true;
    this.#abort?.();
    // A request that has no connection yet cannot be aborted, and no part of it has been sent.
    if (!this.#abort) this.#fail('cancelled before it was sent');
  }

  onConnect(abort: () => void): void {
    if (this.#isDone) {
      abort();
      return;
    }
    // From now on the endpoint may have received bytes and run the request. A failure before this point
    // proves that it did not.
    this.#hasStarted = true;
    this.#abort = abort;
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (status < 200) return true;
    clearTimeout(this.#headTimer);
    this.#resume = resume;
    const headers = headerRecord(raw);
    this.#isRefused = headers[NOT_RUN_HEADER] === 'true';
    if (this.#isRefused) return true;
    this.#listener.onHead(status, headers);
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#isRefused || this.#isDone) return true;
    return this.#listener.onData(chunk);
  }

  onComplete(): void {
    if (this.#isDone) return;
    if (this.#isRefused) {
      this.#finish(() => {
        const message = 'the endpoint refused and said that it did not run';
        this.#listener.onFail({ outcome: Outcome.notRun, message, isTimeout: false });
      });
      return;
    }
    this.#finish(() => this.#listener.onEnd());
  }

  onError(error: Error): void {
    this.#fail(this.#isCancelled ? 'cancelled' : error.message);
  }

  #fail(message: string): void {
    if (this.#isDone) return;
    const outcome = this.#hasStarted && !this.#isRefused ? Outcome.unknown : Outcome.notRun;
    this.#finish(() => this.#listener.onFail({ outcome, message, isTimeout: this.#isTimeout }));
  }

  #finish(notify: () => void): void {
    this.#isDone = true;
    clearTimeout(this.#headTimer);
    this.#body?.destroy();
    notify();
  }
}
