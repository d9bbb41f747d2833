import type { IncomingMessage } from 'node:http';
import type { BodyAdmission, HeldMemory, ReadingBody } from '@chervilseam/decisions';
import { BlockBuffer } from '@chervilseam/model';
import type { MemoryKind } from './memory-kind.js';

/** Memory that the head of an ordinary request and the state of its run take, in bytes. */
const ORDINARY_REQUEST_BYTES = 4 * 1024;
/** Bytes by which more is held for a body whose length is not known; the first ones are a small holding. */
const STEP_BYTES = 64 * 1024 - ORDINARY_REQUEST_BYTES;

/**
 * What is held for a body of known length while it is read, as a share of its length and at most in bytes: what it was
 * copied from is not collected at once.
 */
const READING_SHARE = 0.5;
const READING_BYTES_MAX = 2 * 1024 * 1024;

/** Result of reading a request's body. */
type BodyResult =
  | { readonly kind: 'whole'; readonly body: Buffer }
  | { readonly kind: 'too-large' }
  /** There was no memory for it in time. */
  | { readonly kind: 'no-memory' }
  /** It was not complete in time. */
  | { readonly kind: 'late' }
  | { readonly kind: 'broken' };

/** What a body is read with. */
interface BodyContext {
  /** Largest body that is accepted, in bytes. */
  readonly bytesMax: number;
  /** Time until the body has to be complete, in milliseconds. */
  readonly timeoutMs: number;
  readonly nowMs: () => number;
  /** Memory that the head and the state of the run take, in bytes. */
  readonly requestBytes: number;
  readonly admission: BodyAdmission<MemoryKind>;
  /** Memory of the request; the caller of this class ends that of a body that was read. */
  readonly held: HeldMemory;
}

const declaredBytes = ({ headers }: IncomingMessage): number | undefined => {
  if (headers['transfer-encoding'] !== undefined) return undefined;
  return Number(headers['content-length'] ?? 0);
};

/**
 * Reads a request's body into memory, so that it can be sent again in a retry. It is left unread, which holds its
 * sender back, until there is memory for the whole of it, or for the next part of one whose length is not known.
 */
export class BodyReader implements ReadingBody {
  readonly startedMs: number;
  readonly #request: IncomingMessage;
  readonly #context: BodyContext;
  readonly #declaredBytes: number | undefined;
  readonly #buffer: BlockBuffer;
  #bytes = 0;
  #lastByteMs: number;
  #isSettled = false;
  #isLeftUnread = false;
  #withdraw = (): void => {};
  #timer: NodeJS.Timeout | undefined;
  #resolve: (result: BodyResult) => void = () => {};

  /**
   * @param request - the request
   * @param context - bounds, clock and memory
   */
  constructor(request: IncomingMessage, context: BodyContext) {
    this.#request = request;
    this.#context = context;
    this.#declaredBytes = declaredBytes(request);
    this.#buffer = new BlockBuffer(this.#declaredBytes);
    this.startedMs = context.nowMs();
    this.#lastByteMs = this.startedMs;
  }

  /** When the last byte was read, by the monotonic clock, in milliseconds; now if the body is left unread. */
  get lastByteMs(): number {
    return this.#isLeftUnread ? this.#context.nowMs() : this.#lastByteMs;
  }

  /** Number of bytes held for the request. */
  get heldBytes(): number {
    return this.#context.held.bytes;
  }

  /** @returns the body, or why it could not be read */
  read(): Promise<BodyResult> {
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#start();
    });
  }

  /** Stops reading and frees the memory, which others need. */
  giveUp(): void {
    this.#settle({ kind: 'no-memory' });
  }

  #start(): void {
    const request = this.#request;
    const { bytesMax, timeoutMs, requestBytes } = this.#context;
    const declared = this.#declaredBytes;
    if (declared !== undefined && declared > bytesMax) {
      this.#settle({ kind: 'too-large' });
      return;
    }
    this.#timer = setTimeout(() => this.#settle({ kind: 'late' }), timeoutMs);
    request.on('end', () => this.#onEnd());
    request.on('error', () => this.#settle({ kind: 'broken' }));
    request.on('close', () => this.#settle({ kind: 'broken' }));
    const firstBytes =
      declared === undefined
        ? STEP_BYTES
        : declared + Math.min(READING_BYTES_MAX, Math.ceil(READING_SHARE * declared));
    this.#admit(requestBytes + firstBytes, () =>
      request.on('data', (chunk: Buffer) => this.#onData(chunk)),
    );
  }

  #onEnd(): void {
    if (this.#isSettled) return;
    const { held, requestBytes } = this.#context;
    held.resize(requestBytes + this.#bytes);
    this.#settle({ kind: 'whole', body: this.#buffer.join() });
  }

  #settle(result: BodyResult): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#timer);
    this.#withdraw();
    this.#resolve(result);
    if (result.kind === 'whole') return;
    this.#context.held.resize(0);
    // The rest is read and dropped, so that the connection can go on.
    this.#request.resume();
  }

  #admit(wantedBytes: number, start: () => void): void {
    const { admission, held, nowMs } = this.#context;
    this.#isLeftUnread = true;
    this.#withdraw = admission.request(wantedBytes, held, nowMs(), {
      start: () => {
        this.#isLeftUnread = false;
        this.#lastByteMs = nowMs();
        start();
      },
      refuse: () => this.#settle({ kind: 'no-memory' }),
    });
  }

  #onData(chunk: Buffer): void {
    if (this.#isSettled) return;
    const { bytesMax, held, nowMs, requestBytes } = this.#context;
    this.#lastByteMs = nowMs();
    this.#bytes += chunk.length;
    if (this.#bytes > bytesMax) {
      this.#settle({ kind: 'too-large' });
      return;
    }
    this.#buffer.append(chunk);
    if (this.#bytes + requestBytes <= held.bytes) return;
    this.#request.pause();
    this.#admit(STEP_BYTES, () => this.#request.resume());
  }
}
