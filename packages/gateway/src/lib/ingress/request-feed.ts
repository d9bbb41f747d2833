import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { HeldMemory, MemoryBudget } from '@chervilseam/decisions';
import { MemoryKind } from './memory-kind.js';

/**
 * Bytes that are parsed at a time: up to the end of a head, but within these bounds, or all of a body of known length.
 * What was read may hold thousands of requests, or of chunks of a body.
 */
const PIECE_BYTES_MIN = 128;
const PIECE_BYTES_MAX = 2 * 1024;
const HEAD_END = '\r\n\r\n';
/** Number of bytes ahead of the current request from which a connection is not read any further. */
const AHEAD_BYTES_MAX = 16 * 1024;
/** Time after which the other connections get their turn, in milliseconds. */
const TURN_MS = 2;

// The HTTP server stops parsing while answers wait to be sent, and asserts that it gets no bytes meanwhile.
const isPausedByServer = (socket: Socket): boolean =>
  (socket as { readonly _paused?: boolean })._paused === true; // eslint-disable-line no-underscore-dangle

/**
 * Passes the bytes of a connection to the HTTP server one request after the other. The server itself would parse all
 * requests that a client sends ahead of their answers, and hold each of them.
 */
export class RequestFeed {
  readonly #socket: Socket;
  readonly #nowMs: () => number;
  readonly #held: HeldMemory;
  readonly #parse: (bytes: Buffer) => void;
  /** Bytes that were read and not parsed. */
  #ahead: Buffer | undefined;
  /** The last request that was parsed. */
  #request: IncomingMessage | undefined;
  /** Number of bytes that are known to belong to its body and were not parsed. */
  #bodyBytes = 0;
  #openCount = 0;
  #isHoldingBack = false;
  #isScheduled = false;

  /**
   * @param socket - a connection that the HTTP server has just accepted
   * @param nowMs - monotonic clock, in milliseconds
   * @param memory - memory budget of the instance; a connection is closed if what it sent ahead is its largest holding
   */
  constructor(socket: Socket, nowMs: () => number, memory: MemoryBudget<MemoryKind>) {
    this.#socket = socket;
    this.#nowMs = nowMs;
    this.#held = memory.hold(MemoryKind.ahead, () => this.#drop());
    const [parse] = socket.listeners('data') as ((bytes: Buffer) => void)[];
    this.#parse = parse;
    socket.off('data', parse);
    socket.on('data', (bytes: Buffer) => this.#receive(bytes));
    socket.on('resume', () => this.#schedule());
    socket.on('close', () => this.#drop());
  }

  /** Number of requests that were parsed and are not completely answered. */
  get openCount(): number {
    return this.#openCount;
  }

  /**
   * Records that a request was parsed. The next one is parsed once this one is answered.
   *
   * @param request - the request
   * @param response - the response to it
   */
  begin(request: IncomingMessage, response: ServerResponse): void {
    this.#openCount += 1;
    this.#request = request;
    request.on('resume', () => this.#schedule());
    response.on('close', () => {
      this.#openCount -= 1;
      this.#schedule();
    });
  }

  #drop(): void {
    this.#ahead = undefined;
    this.#held.resize(0);
    this.#socket.destroy();
  }

  #receive(bytes: Buffer): void {
    const isWaiting = this.#ahead !== undefined;
    this.#ahead = this.#ahead ? Buffer.concat([this.#ahead, bytes]) : bytes;
    if (isWaiting) this.#holdBack();
    else this.#advance();
  }

  #schedule(): void {
    if (!this.#ahead || this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#advance();
    });
  }

  // Whether the next bytes may be parsed: no request waits for its answer, or they belong to a body that is read.
  get #isOpen(): boolean {
    const request = this.#request;
    if (this.#socket.destroyed || isPausedByServer(this.#socket)) return false;
    if (!request || request.complete) return this.#openCount === 0;
    const { readableLength, readableHighWaterMark } = request;
    return request.readableFlowing === true && readableLength < readableHighWaterMark;
  }

  #advance(): void {
    let endMs: number | undefined;
    while (this.#ahead && this.#isOpen) {
      this.#parseNext(this.#ahead);
      if (!this.#ahead) break;
      endMs ??= this.#nowMs() + TURN_MS;
      if (this.#nowMs() > endMs) break;
    }
    this.#holdBack();
    if (this.#ahead && (this.#isOpen || this.#isDeliveringBody)) this.#schedule();
  }

  #parseNext(ahead: Buffer): void {
    const bytes = this.#bodyBytes > 0 ? this.#bodyBytes : RequestFeed.#pieceBytes(ahead);
    const piece = ahead.subarray(0, bytes);
    this.#ahead = piece.length === ahead.length ? undefined : ahead.subarray(piece.length);
    const previous = this.#request;
    this.#bodyBytes = Math.max(0, this.#bodyBytes - piece.length);
    this.#parse(piece);
    const request = this.#request;
    // Without a byte of the body, the piece ended with the head.
    if (!request || request === previous || request.complete || request.readableLength > 0) return;
    this.#bodyBytes = Number(request.headers['content-length'] ?? 0);
  }

  static #pieceBytes(ahead: Buffer): number {
    const window = ahead.subarray(0, PIECE_BYTES_MAX);
    const headEnd = window.indexOf(HEAD_END);
    return headEnd < 0
      ? window.length
      : Math.min(window.length, Math.max(PIECE_BYTES_MIN, headEnd + HEAD_END.length));
  }

  // Whether the reader of a body gets what was pushed to it once this turn of the event loop is over.
  get #isDeliveringBody(): boolean {
    return this.#request?.readableFlowing === true && !this.#request.complete;
  }

  // Reads on unless too much waits to be parsed.
  #holdBack(): void {
    // A part keeps the whole of what was read in memory.
    this.#held.resize(this.#ahead?.buffer.byteLength ?? 0);
    const aheadBytes = this.#ahead?.length ?? 0;
    const isBodyLeftUnread = this.#request?.complete === false && !this.#isOpen;
    if (aheadBytes >= (isBodyLeftUnread ? 1 : AHEAD_BYTES_MAX)) {
      this.#isHoldingBack = true;
      this.#socket.pause();
    } else if (this.#isHoldingBack && aheadBytes === 0) {
      this.#isHoldingBack = false;
      this.#socket.resume();
    }
  }
}
