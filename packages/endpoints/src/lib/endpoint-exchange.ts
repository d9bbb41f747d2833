import { PassThrough } from 'node:stream';
import { Outcome } from '@chervilseam/model';
import type { Dispatcher } from 'undici';
import type { EndpointListener } from './endpoint-listener.js';
import type { EndpointRequest } from './endpoint-request.js';

const REFUSED_HEADER = 'x-not-run';

const headerRecord = (raw: Buffer[]): Record<string, string> => {
  const headers: Record<string, string> = {};
  for (let at = 0; at + 1 < raw.length; at += 2) {
    headers[raw[at].toString('latin1').toLowerCase()] = raw[at + 1].toString('latin1');
  }
  return headers;
};

/** One request to an endpoint and its answer. */
export class EndpointExchange implements Dispatcher.DispatchHandler {
  readonly #listener: EndpointListener;
  readonly #body: PassThrough | undefined;
  #abort: (() => void) | undefined;
  #resume: (() => void) | undefined;
  #hasStarted = false;
  #isRefused = false;
  #isDone = false;
  #isCancelled = false;
  #isTimeout = false;
  #headTimer: NodeJS.Timeout | undefined;

  /**
   * @param dispatcher - undici's pool for the endpoint
   * @param request - the request
   * @param listener - hears the answer
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
   * @param data - the bytes
   * @returns whether more may be sent at once; otherwise wait for `onDrain`
   */
  write(data: Uint8Array): boolean {
    return this.#body?.write(data) ?? true;
  }

  /** Ends a streamed body. */
  endBody(): void {
    this.#body?.end();
  }

  /** Lets an answer that was held back go on. */
  resume(): void {
    this.#resume?.();
  }

  /** Gives up; the endpoint sees its connection closed. */
  cancel(): void {
    if (this.#isDone) return;
    this.#isCancelled = true;
    this.#abort?.();
    // Before the request has a connection there is nothing to abort, and nothing was sent.
    if (!this.#abort) this.#fail('cancelled before it was sent');
  }

  onConnect(abort: () => void): void {
    if (this.#isDone) {
      abort();
      return;
    }
    // From here on bytes may be on the wire; before it, a failure proves that nothing ran.
    this.#hasStarted = true;
    this.#abort = abort;
  }

  onHeaders(status: number, raw: Buffer[], resume: () => void): boolean {
    if (status < 200) return true;
    clearTimeout(this.#headTimer);
    this.#resume = resume;
    const headers = headerRecord(raw);
    this.#isRefused = headers[REFUSED_HEADER] === 'true';
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

  #finish(tell: () => void): void {
    this.#isDone = true;
    clearTimeout(this.#headTimer);
    this.#body?.destroy();
    tell();
  }
}
