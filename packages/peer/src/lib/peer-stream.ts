import type { FrameMessage } from './frame-message.js';

const WINDOW_BYTES = 256 * 1024;
const CREDIT_STEP_BYTES = 64 * 1024;
const DATA_BYTES_MAX = 128 * 1024;

/** What a user of a stream wants to hear; the last call is one of `onEnd` and `onFail`. */
interface StreamListener {
  onHead?(params: unknown): void;
  onData?(data: Uint8Array): void;
  onEnd?(params: unknown): void;
  onFail?(reason: unknown): void;
  /** The other side took bytes: sending may go on. */
  onDrain?(): void;
}

/** One duplex stream of a peer connection, with a window of unacknowledged bytes each way. */
export class PeerStream {
  /** Set by the stream's user before any message can arrive. */
  listener: StreamListener = {};

  readonly #id: number;
  readonly #post: (message: FrameMessage) => void;
  readonly #onClosed: (id: number) => void;
  #unacknowledgedBytes = 0;
  #consumedBytes = 0;
  #isLocalDone = false;
  #isRemoteDone = false;
  #isClosed = false;
  #paused: Uint8Array[] | undefined;

  /**
   * @param id - number of the stream on its connection
   * @param post - writes a message to the connection
   * @param onClosed - called once both sides are done
   */
  constructor(id: number, post: (message: FrameMessage) => void, onClosed: (id: number) => void) {
    this.#id = id;
    this.#post = post;
    this.#onClosed = onClosed;
  }

  /** Sends the head of an answer. */
  head(params: unknown): void {
    if (this.#isLocalDone) return;
    this.#post({ type: 'head', stream: this.#id, params });
  }

  /**
   * Sends bytes.
   *
   * @param data - the bytes
   * @returns whether more may be sent at once; otherwise wait for `onDrain`
   */
  write(data: Uint8Array): boolean {
    if (this.#isLocalDone) return true;
    for (let at = 0; at < data.length; at += DATA_BYTES_MAX) {
      const part = data.subarray(at, at + DATA_BYTES_MAX);
      this.#post({ type: 'data', stream: this.#id, data: part });
    }
    this.#unacknowledgedBytes += data.length;
    return this.#unacknowledgedBytes < WINDOW_BYTES;
  }

  /** Ends this side whole. */
  end(params: unknown = null): void {
    if (this.#isLocalDone) return;
    this.#post({ type: 'end', stream: this.#id, params });
    this.#finishLocal();
  }

  /** Ends both sides: this one gave up, and says why. */
  fail(reason: unknown): void {
    if (this.#isClosed) return;
    this.#post({ type: 'fail', stream: this.#id, params: reason });
    this.#isLocalDone = true;
    this.#close();
  }

  /** Holds back arriving bytes, and with them the sender once its window is full. */
  pause(): void {
    this.#paused ??= [];
  }

  /** Hands on what was held back. */
  resume(): void {
    const held = this.#paused ?? [];
    this.#paused = undefined;
    held.forEach((data) => this.#takeData(data));
  }

  /** Takes a message that arrived for this stream; for the connection only. */
  take(message: FrameMessage): void {
    // A side that has ended still takes credit for what it gets, and may still be told to give up.
    const isLate = this.#isRemoteDone && ['head', 'data', 'end'].includes(message.type);
    if (this.#isClosed || isLate) return;
    switch (message.type) {
      case 'head':
        this.listener.onHead?.(message.params);
        break;
      case 'data':
        this.#takeData(message.data);
        break;
      case 'credit':
        this.#takeCredit(message.bytes);
        break;
      case 'end':
        this.resume();
        this.#isRemoteDone = true;
        this.listener.onEnd?.(message.params);
        this.#closeIfDone();
        break;
      default:
        this.abort((message as { params?: unknown }).params);
    }
  }

  /** Ends the stream because the other side or the connection failed; for the connection only. */
  abort(reason: unknown): void {
    if (this.#isClosed) return;
    this.#isLocalDone = true;
    this.#close();
    this.listener.onFail?.(reason);
  }

  #takeData(data: Uint8Array): void {
    if (this.#paused) {
      this.#paused.push(data);
      return;
    }
    this.#consumedBytes += data.length;
    if (this.#consumedBytes >= CREDIT_STEP_BYTES) {
      this.#post({ type: 'credit', stream: this.#id, bytes: this.#consumedBytes });
      this.#consumedBytes = 0;
    }
    this.listener.onData?.(data);
  }

  #takeCredit(bytes: number): void {
    const wasFull = this.#unacknowledgedBytes >= WINDOW_BYTES;
    this.#unacknowledgedBytes -= bytes;
    if (wasFull && this.#unacknowledgedBytes < WINDOW_BYTES) this.listener.onDrain?.();
  }

  #finishLocal(): void {
    this.#isLocalDone = true;
    this.#closeIfDone();
  }

  #closeIfDone(): void {
    if (this.#isLocalDone && this.#isRemoteDone) this.#close();
  }

  #close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#onClosed(this.#id);
  }
}
