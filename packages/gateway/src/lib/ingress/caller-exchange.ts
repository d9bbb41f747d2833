import type { IncomingMessage, ServerResponse } from 'node:http';

const MS_PER_SECOND = 1_000;

/** A caller's request and the way back to the caller. */
export class CallerExchange {
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly receivedMs: number;
  /** Called once when the caller has gone before its answer was complete. */
  onGone: () => void = () => {};
  /** Called when an answer that was held back may go on. */
  onDrain: () => void = () => {};
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  #isOver = false;

  /**
   * @param request - the request, its head read
   * @param response - its response
   * @param receivedMs - when the head was read, in milliseconds
   */
  constructor(request: IncomingMessage, response: ServerResponse, receivedMs: number) {
    this.#request = request;
    this.#response = response;
    this.method = request.method ?? 'GET';
    this.path = request.url ?? '/';
    this.rawHeaders = request.rawHeaders;
    this.receivedMs = receivedMs;
    response.on('close', () => {
      if (this.#isOver) return;
      this.#isOver = true;
      this.onGone();
    });
    response.on('drain', () => this.onDrain());
  }

  /** Headers by name in lower case. */
  get headers(): IncomingMessage['headers'] {
    return this.#request.headers;
  }

  /** Whether the head of the answer has been sent. */
  get isAnswering(): boolean {
    return this.#response.headersSent;
  }

  /** Whether the answer is complete, or the caller has gone. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /**
   * Answers with a status of this system's own.
   *
   * @param status - HTTP status
   * @param reason - short reason, for people
   * @param retryAfterMs - when to come back, in milliseconds, where that makes sense
   */
  refuse(status: number, reason: string, retryAfterMs?: number): void {
    if (this.#isOver) return;
    this.#isOver = true;
    const body = Buffer.from(`${JSON.stringify({ error: reason })}\n`);
    const headers: Record<string, string | number> = {
      'content-type': 'application/json',
      'content-length': body.length,
    };
    if (retryAfterMs !== undefined) {
      headers['retry-after'] = (retryAfterMs / MS_PER_SECOND).toFixed(2);
    }
    this.#response.writeHead(status, headers);
    this.#response.end(body);
  }

  /**
   * Sends the head of an endpoint's answer.
   *
   * @param status - HTTP status
   * @param headers - names and values in turn
   */
  head(status: number, headers: readonly string[]): void {
    if (this.#isOver) return;
    this.#response.writeHead(status, [...headers]);
    this.#response.flushHeaders();
  }

  /**
   * Sends a part of the body.
   *
   * @param data - the bytes
   * @returns whether more may follow at once; otherwise wait for `onDrain`
   */
  write(data: Buffer): boolean {
    return this.#isOver || this.#response.write(data);
  }

  /**
   * Ends the answer.
   *
   * @param data - the last bytes
   */
  end(data?: Buffer): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#response.end(data);
  }

  /** Breaks the connection off, so that an answer that is not whole cannot be taken for whole. */
  cut(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#request.socket.destroy();
  }
}
