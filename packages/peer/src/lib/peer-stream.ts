import { BlockBuffer } from '@chervilseam/model';
import type { FrameMessage } from './frame-message.js';

/** Number of sent bytes without a `credit` from which the sender has to wait. */
const WINDOW_BYTES = 256 * 1024;
/** Number of received bytes after which a `credit` acknowledges them. */
const CREDIT_STEP_BYTES = 64 * 1024;
/** Largest amount of data in one frame; longer data is sent in several. */
const DATA_BYTES_MAX = 128 * 1024;

/** Largest part that is sent together with those that follow in the same turn of the event loop, in bytes. */
const JOINED_BYTES_MAX = 1024;

/** Receives the events of a stream; the last call is `onEnd` or `onFail`. */
interface StreamListener {
  /** The peer sent the head of its answer. */
  onHead?(params: unknown): void;
  onData?(data: Uint8Array): void;
  /** The peer ended its side normally. */
  onEnd?(params: unknown): void;
  /** The peer or the connection ended both sides of the stream. */
  onFail?(reason: unknown): void;
  /** The peer acknowledged enough bytes that the window has room again. */
  onDrain?(): void;
}

/**
 * A duplex stream on a connection between two instances. Each direction has a window: the sender waits
 * while too many of its bytes have not been acknowledged.
 */
export class PeerStream {
  /** Set by the opener or the handler of the stream before a message can arrive. */
  listener: StreamListener = {};

  readonly #id: number;
  readonly #send: (message: FrameMessage) => void;
  readonly #onClosed: (id: number) => void;
  #unacknowledgedBytes = 0;
  #consumedBytes = 0;
  #isLocalEnded = false;
  #isRemoteEnded = false;
  #isClosed = false;
  /** Data that arrived while paused; `undefined` while not paused. */
  #heldData: BlockBuffer | undefined;
  /** Short parts that are sent in one frame at the end of this turn of the event loop: each frame has its own cost. */
  readonly #joinedData = new BlockBuffer();

  /**
   * @param id - id of the stream, unique on its connection
   * @param send - sends a message on the connection
   * @param onClosed - called once both sides have ended
   */
  constructor(id: number, send: (message: FrameMessage) => void, onClosed: (id: number) => void) {
    this.#id = id;
    this.#send = send;
    this.#onClosed = onClosed;
  }

  /** Sends the head of an answer. */
  head(params: unknown): void {
    if (this.#isLocalEnded) return;
    this.#sendJoined();
    this.#send({ type: 'head', stream: this.#id, params });
  }

  /**
   * Sends data.
   *
   * @param data - the bytes to send; they are sent even if the window is full
   * @returns whether the window has room for more; otherwise wait for `onDrain`
   */
  write(data: Uint8Array): boolean {
    if (this.#isLocalEnded) return true;
    if (data.length <= JOINED_BYTES_MAX) {
      this.#join(data);
    } else {
      this.#sendJoined();
      this.#sendData(data);
    }
    this.#unacknowledgedBytes += data.length;
    return this.#unacknowledgedBytes < WINDOW_BYTES;
  }

  #join(data: Uint8Array): void {
    if (this.#joinedData.length === 0) process.nextTick(() => this.#sendJoined());
    this.#joinedData.append(data);
  }

  #sendJoined(): void {
    if (this.#joinedData.length === 0 || this.#isClosed) return;
    this.#sendData(this.#joinedData.take());
  }

  #sendData(data: Uint8Array): void {
    for (let offset = 0; offset < data.length; offset += DATA_BYTES_MAX) {
      const part = data.subarray(offset, offset + DATA_BYTES_MAX);
      this.#send({ type: 'data', stream: this.#id, data: part });
    }
  }

  /** Ends this side normally; the peer's side stays open until the peer ends it. */
  end(params: unknown = null): void {
    if (this.#isLocalEnded) return;
    this.#sendJoined();
    this.#send({ type: 'end', stream: this.#id, params });
    this.#endLocal();
  }

  /** Cancels the stream: ends both sides and sends the reason to the peer. */
  fail(reason: unknown): void {
    if (this.#isClosed) return;
    this.#send({ type: 'fail', stream: this.#id, params: reason });
    this.#isLocalEnded = true;
    this.#close();
  }

  /** Holds back arriving data and does not acknowledge it, so that the sender stops at a full window. */
  pause(): void {
    this.#heldData ??= new BlockBuffer();
  }

  /** Delivers the data that was held back, and again all further data as it arrives. */
  resume(): void {
    const held = this.#heldData;
    this.#heldData = undefined;
    if (held && held.length > 0) this.#receiveData(held.take());
  }

  /** Handles a message from the other end; called by the connection, or by the other end of a pair. */
  receive(message: FrameMessage): void {
    // After its `end`, the peer may still acknowledge data (`credit`) and cancel the stream (`fail`).
    const isLate = this.#isRemoteEnded && ['head', 'data', 'end'].includes(message.type);
    if (this.#isClosed || isLate) return;
    switch (message.type) {
      case 'head':
        this.listener.onHead?.(message.params);
        break;
      case 'data':
        this.#receiveData(message.data);
        break;
      case 'credit':
        this.#receiveCredit(message.bytes);
        break;
      case 'end':
        this.resume();
        this.#isRemoteEnded = true;
        this.listener.onEnd?.(message.params);
        this.#closeIfEnded();
        break;
      default:
        this.abort((message as { params?: unknown }).params);
    }
  }

  /** Ends both sides without sending `fail`: the peer has sent it, or the connection was lost. */
  abort(reason: unknown): void {
    if (this.#isClosed) return;
    this.#isLocalEnded = true;
    this.#close();
    this.listener.onFail?.(reason);
  }

  #receiveData(data: Uint8Array): void {
    if (this.#heldData) {
      this.#heldData.append(data);
      return;
    }
    this.#consumedBytes += data.length;
    if (this.#consumedBytes >= CREDIT_STEP_BYTES) {
      this.#send({ type: 'credit', stream: this.#id, bytes: this.#consumedBytes });
      this.#consumedBytes = 0;
    }
    this.listener.onData?.(data);
  }

  #receiveCredit(bytes: number): void {
    const wasFull = this.#unacknowledgedBytes >= WINDOW_BYTES;
    this.#unacknowledgedBytes -= bytes;
    if (wasFull && this.#unacknowledgedBytes < WINDOW_BYTES) this.listener.onDrain?.();
  }

  #endLocal(): void {
    this.#isLocalEnded = true;
    this.#closeIfEnded();
  }

  #closeIfEnded(): void {
    if (this.#isLocalEnded && this.#isRemoteEnded) this.#close();
  }

  #close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#onClosed(this.#id);
  }
}
