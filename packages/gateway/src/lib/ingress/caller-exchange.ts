import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HeldMemory, MemoryBudget } from '@chervilseam/decisions';
import { BlockBuffer } from '@chervilseam/model';
import { MemoryKind } from './memory-kind.js';

const MS_PER_SECOND = 1_000;
/** Number of bytes that are read of an endpoint's stream ahead of what its caller takes. */
const UNREAD_BYTES_MAX = 64 * 1024;
/** Time after which a connection is closed whose caller takes nothing of a complete answer, in milliseconds. */
const UNREAD_TIMEOUT_MS = 60_000;

/** A caller's request and its HTTP response. */
export class CallerExchange {
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  /** When the head of the request was read, by the monotonic clock, in milliseconds. */
  readonly receivedMs: number;
  /** Longest time that the head may have waited to be read, in milliseconds. */
  readonly readLagMs: number;
  /** Whether it is the first request of its connection, which may have waited to be accepted. */
  readonly isFirst: boolean;
  /** Called once when the connection closes before the answer is complete. */
  onGone: () => void = () => {};
  /** Called when `isWritable` becomes true again. */
  onDrain: () => void = () => {};
  readonly #request: IncomingMessage;
  readonly #response: ServerResponse;
  #isOver = false;
  /** Memory that the write in progress keeps, in bytes; 0 when there is none. */
  #writingBytes = 0;
  /** Data that follows it, which is then written at once: a write takes some hundred bytes besides its data. */
  readonly #waiting = new BlockBuffer();
  /** Whether no more data can be written until `onDrain` is called. */
  #isFull = false;
  #unsent: HeldMemory | undefined;

  /**
   * @param request - the request, with its head already read
   * @param response - the response to it
   * @param receivedMs - when the head was read, by the monotonic clock, in milliseconds
   * @param arrival - longest time that the head may have waited to be read after its connection was accepted,
   *   in milliseconds, and whether the request is the first of its connection
   */
  constructor(
    request: IncomingMessage,
    response: ServerResponse,
    receivedMs: number,
    { readLagMs, isFirst }: { readonly readLagMs: number; readonly isFirst: boolean },
  ) {
    this.#request = request;
    this.#response = response;
    this.method = request.method ?? 'GET';
    this.path = request.url ?? '/';
    this.rawHeaders = request.rawHeaders;
    this.receivedMs = receivedMs;
    this.readLagMs = readLagMs;
    this.isFirst = isFirst;
    const { socket } = request;
    const onGone = (): void => {
      this.#waiting.clear();
      if (this.#isOver) return;
      this.#isOver = true;
      this.onGone();
    };
    // A response closes some turns of the event loop after the end of its connection was read.
    socket.once('end', onGone);
    response.once('close', () => {
      socket.off('end', onGone);
      onGone();
    });
  }

  /**
   * Counts what the caller has not taken of the answer, until the response is closed. The connection is closed if it is
   * the largest holding when memory is short.
   *
   * @param memory - memory budget of the instance
   */
  holdUnsent(memory: MemoryBudget<MemoryKind>): void {
    const release = (): void => {
      this.#unsent?.resize(0);
      this.#unsent = undefined;
    };
    this.#unsent = memory.hold(MemoryKind.unsent, () => {
      release();
      this.#request.socket.destroy();
    });
    this.#response.once('close', release);
  }

  /** Headers of the request by name in lower case. */
  get headers(): IncomingMessage['headers'] {
    return this.#request.headers;
  }

  /** Frees the headers of a request that is not passed on: many short ones take far more than their length. */
  dropHeaders(): void {
    this.#request.rawHeaders.length = 0;
    this.#request.headers = {};
  }

  /** Whether the head of the answer has been sent. */
  get isAnswering(): boolean {
    return this.#response.headersSent;
  }

  /** Whether more data can be written now; otherwise wait for `onDrain`. */
  get isWritable(): boolean {
    return !this.#isFull;
  }

  /** Whether the answer was ended or cut, or the caller has gone. */
  get isOver(): boolean {
    return this.#isOver;
  }

  /**
   * Answers with an error of the gateway itself.
   *
   * @param status - HTTP status
   * @param reason - short text, sent in the body
   * @param retryAfterMs - value of `Retry-After`, in milliseconds (sent in seconds); left out for no header
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
    this.#endResponse(body);
  }

  /**
   * Sends the head of an endpoint's answer.
   *
   * @param status - HTTP status
   * @param headers - names and values alternating
   */
  head(status: number, headers: readonly string[]): void {
    if (this.#isOver) return;
    this.#response.writeHead(status, [...headers]);
    this.#response.flushHeaders();
  }

  /**
   * Sends a part of the body.
   *
   * @param data - the bytes; they are sent even if no more data can be written now
   */
  write(data: Buffer): void {
    if (this.#isOver) return;
    if (this.#writingBytes > 0) this.#waiting.append(data);
    else this.#send(data);
    this.#countUnsent();
    this.#isFull = this.#unsentBytes >= UNREAD_BYTES_MAX;
  }

  /**
   * Ends the answer.
   *
   * @param data - the last bytes of the body, if any
   */
  end(data?: Buffer): void {
    if (this.#isOver) return;
    this.#isOver = true;
    if (this.#waiting.length === 0) {
      this.#endResponse(data);
      return;
    }
    if (data) this.#waiting.append(data);
    this.#endResponse(this.#waiting.take());
  }

  get #unsentBytes(): number {
    return this.#response.writableLength + this.#waiting.length;
  }

  #send(data: Buffer): void {
    // A part keeps the whole of what was read in memory.
    this.#writingBytes = data.buffer.byteLength;
    this.#response.write(data, (error) => this.#onWritten(error));
  }

  #onWritten(error: Error | null | undefined): void {
    this.#writingBytes = 0;
    if (error || this.#isOver) return;
    if (this.#waiting.length > 0) this.#send(this.#waiting.take());
    this.#countUnsent();
    if (!this.#isFull || this.#unsentBytes >= UNREAD_BYTES_MAX) return;
    this.#isFull = false;
    this.onDrain();
  }

  #endResponse(data?: Buffer): void {
    this.#response.end(data);
    this.#countUnsent();
    // The server sets the time of an idle connection in its place once the answer is taken.
    this.#request.socket.setTimeout(UNREAD_TIMEOUT_MS);
  }

  #countUnsent(): void {
    const writingBytes = Math.max(this.#response.writableLength, this.#writingBytes);
    this.#unsent?.resize(writingBytes + this.#waiting.heldBytes);
  }

  /** Closes the connection, so that the caller cannot take a truncated answer for a complete one. */
  cut(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.#request.socket.destroy();
  }
}
