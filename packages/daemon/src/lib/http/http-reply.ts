import type { ServerResponse } from 'node:http';
import { Outcome } from '@chervilseam/model';
import type { RefusalError } from '@chervilseam/model';
import type { CallerReply } from '../entry/caller-reply.js';

const MS_PER_SECOND = 1_000;
const OUTCOME_HEADER = 'chervilseam-outcome';

/** OpenAI error types of some HTTP statuses; others depend on whether it is below 500. */
const errorTypes: Readonly<Record<number, string>> = {
  401: 'authentication_error',
  429: 'rate_limit_error',
};

const errorType = (status: number): string =>
  errorTypes[status] ?? (status < 500 ? 'invalid_request_error' : 'server_error');

/** Writes an answer to an HTTP response. */
export class HttpReply implements CallerReply {
  onClose: () => void = () => {};
  onDrain: () => void = () => {};
  readonly #response: ServerResponse;
  readonly #headers: Record<string, string> = {};
  /** Whether the outcome is sent in a trailer, which needs an answer without a content length. */
  #hasTrailer = false;

  /** @param response - the HTTP response to write to */
  constructor(response: ServerResponse) {
    this.#response = response;
    response.on('close', () => {
      if (!response.writableEnded) this.onClose();
    });
    response.on('drain', () => this.onDrain());
  }

  /**
   * Sets a header of the answer, also if the answer is an error.
   *
   * @param name - name in lower case
   * @param value - its value
   */
  setHeader(name: string, value: string): void {
    this.#headers[name] = value;
  }

  head(status: number, headers: Readonly<Record<string, string>>): void {
    this.#hasTrailer = headers['content-length'] === undefined;
    const trailer: Record<string, string> = this.#hasTrailer ? { trailer: OUTCOME_HEADER } : {};
    this.#response.writeHead(status, { ...this.#headers, ...headers, ...trailer });
  }

  write(data: Uint8Array): boolean {
    return this.#response.write(data);
  }

  end(outcome: Outcome): void {
    if (this.#hasTrailer) this.#response.addTrailers({ [OUTCOME_HEADER]: outcome });
    this.#response.end();
  }

  refuse(error: RefusalError): void {
    const { code, status, message, mend, outcome, retryAfterMs } = error;
    const type = errorType(status);
    this.json(status, { error: { message: `${message}; ${mend}`, type, code, outcome } }, outcome, {
      ...(retryAfterMs === undefined
        ? {}
        : { 'retry-after': String(Math.ceil(retryAfterMs / MS_PER_SECOND)) }),
    });
  }

  /**
   * Sends a JSON answer of this system, as opposed to an endpoint's. Has no effect after the head was
   * sent.
   *
   * @param status - HTTP status
   * @param body - value to encode as JSON
   * @param outcome - what is known about the effects of the request
   * @param headers - additional headers
   */
  json(
    status: number,
    body: unknown,
    outcome: Outcome = Outcome.notRun,
    headers: Readonly<Record<string, string>> = {},
  ): void {
    if (this.#response.destroyed || this.#response.headersSent) return;
    const text = JSON.stringify(body);
    this.#response.writeHead(status, {
      ...this.#headers,
      ...headers,
      'content-type': 'application/json',
      'content-length': String(Buffer.byteLength(text)),
      [OUTCOME_HEADER]: outcome,
    });
    this.#response.end(text);
  }

  abort(): void {
    this.#response.destroy();
  }
}
