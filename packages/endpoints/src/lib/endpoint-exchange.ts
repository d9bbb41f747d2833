import { PassThrough } from 'node:stream';
import { Outcome } from '@chervilseam/model';
import type { Dispatcher } from 'undici';
import type { EndpointListener } from './endpoint-listener.js';
import type { EndpointRequest } from './endpoint-request.js';

/** Header with which an endpoint states that it refused a request and ran no part of it. */
const NOT_RUN_HEADER = 'x-not-run';

const EVENT_STREAM = 'text/event-stream';
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

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
  readonly #method: string;
  readonly #body: PassThrough | undefined;
  /** Closes the request's connection; `undefined` until the request has one. */
  #abort: (() => void) | undefined;
  /** Resumes reading the answer; `undefined` until its head has arrived. */
  #resume: (() => void) | undefined;
  /** Whether a part of the request may have been sent. */
  #hasStarted = false;
  /** Whether the endpoint stated that it did not run the request. */
  #isRefused = false;
  /** Whether nothing but the end of its connection marks the end of the answer. */
  #isUnframed = false;
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
    this.#method = request.method;
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
    this.#isUnframed = this.#endsWithConnection(status, headers);
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
    if (this.#isUnframed) {
      this.#fail('the answer has no length and may be cut short');
      return;
    }
    this.#finish(() => this.#listener.onEnd());
  }

  // The end of a connection shows nothing: a process that crashes closes its connections in the same way. Streams of events
  // have an end marker, which the receiver checks.
  #endsWithConnection(status: number, headers: Readonly<Record<string, string>>): boolean {
    if (this.#method === 'HEAD' || status === NO_CONTENT || status === NOT_MODIFIED) return false;
    if ('content-length' in headers || 'transfer-encoding' in headers) return false;
    return headers['content-type']?.startsWith(EVENT_STREAM) !== true;
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
