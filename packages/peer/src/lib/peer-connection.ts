import type { Socket } from 'node:net';
import verror from 'verror';
import { FrameCodec } from './frame-codec.js';
import type { FrameMessage } from './frame-message.js';
import { Handshake } from './handshake.js';
import { PeerStream } from './peer-stream.js';

/** Longest time without received or sent data before the handshake is complete, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 5_000;
/** Maximum number of open streams; beyond it, streams that the peer opens are refused. */
const STREAM_COUNT_MAX = 20_000;

/** Handles a stream that the peer opened; `from` is the peer's name. */
type StreamHandler = (params: unknown, stream: PeerStream, from: string) => void;

/** Options of a connection. */
interface PeerConnectionOptions {
  /** `client` if this instance opened the connection, `server` if it accepted it. */
  readonly role: 'client' | 'server';
  /** Name of this instance. */
  readonly instance: string;
  /** The key that all instances share. */
  readonly secret: string;
  /** Handlers of the streams that the peer opens, by method. */
  readonly handlers: Readonly<Record<string, StreamHandler>>;
  /** Called with the peer's name once the handshake is complete. */
  readonly onReady?: (instance: string) => void;
  /** Called when the connection is closed, with the error that caused it, if there was one. */
  readonly onClose?: (error: Error | undefined) => void;
  /** Called with the number of bytes just sent or received, for the metrics. */
  readonly onBytes?: (sentBytes: number, receivedBytes: number) => void;
}

/** Multiplexes streams over one TCP connection between two instances, which share a key. */
export class PeerConnection {
  readonly #socket: Socket;
  readonly #options: PeerConnectionOptions;
  readonly #codec = new FrameCodec();
  readonly #handshake: Handshake;
  readonly #streams = new Map<number, PeerStream>();
  #nextStreamId: number;
  #peerInstance = '';
  #isAuthenticated = false;
  #isCorked = false;
  #error: Error | undefined;

  /**
   * @param socket - the connected or connecting socket
   * @param options - role, shared key, handlers and listeners
   */
  constructor(socket: Socket, options: PeerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#handshake = new Handshake(options.role, options.instance, options.secret);
    // The client gives its streams odd ids and the server even ones, so that they never collide.
    this.#nextStreamId = options.role === 'client' ? 1 : 2;
    socket.setNoDelay(true);
    socket.setTimeout(HANDSHAKE_TIMEOUT_MS, () => {
      this.close(new verror.VError({ name: 'HandshakeError' }, 'no proof in time'));
    });
    socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    socket.on('error', (error) => this.close(error));
    socket.on('close', () => this.#handleClose());
    this.#send(this.#handshake.hello);
  }

  /** Whether the handshake is complete and the connection still open. */
  get isReady(): boolean {
    return this.#isAuthenticated && !this.#socket.destroyed;
  }

  /**
   * Opens a stream.
   *
   * @param method - name of the peer's handler
   * @param params - parameters for the handler
   * @returns the stream; set its listener before the next turn of the event loop, since messages may
   *   arrive from then on
   */
  open(method: string, params: unknown): PeerStream {
    const id = this.#nextStreamId;
    this.#nextStreamId += 2;
    const stream = this.#addStream(id);
    this.#send({ type: 'open', stream: id, method, params });
    return stream;
  }

  /**
   * Closes the connection, which fails all its streams.
   *
   * @param error - the cause, which is passed to `onClose`; the first one given counts
   */
  close(error?: Error): void {
    this.#error ??= error;
    this.#socket.destroy();
  }

  #addStream(id: number): PeerStream {
    const stream = new PeerStream(
      id,
      (message) => this.#send(message),
      (closedId) => this.#streams.delete(closedId),
    );
    this.#streams.set(id, stream);
    return stream;
  }

  #send(message: FrameMessage): void {
    if (this.#socket.destroyed) return;
    // Frames sent in the same turn of the event loop are written with one system call, which costs
    // more than the encoding of a frame.
    if (!this.#isCorked) {
      this.#isCorked = true;
      this.#socket.cork();
      process.nextTick(() => {
        this.#isCorked = false;
        this.#socket.uncork();
      });
    }
    const frame = FrameCodec.encode(message);
    this.#options.onBytes?.(frame.length, 0);
    this.#socket.write(frame);
  }

  #receive(chunk: Buffer): void {
    this.#options.onBytes?.(0, chunk.length);
    try {
      this.#codec.decode(chunk).forEach((message) => this.#handle(message));
    } catch (error) {
      this.close(error as Error);
    }
  }

  #handle(message: FrameMessage): void {
    if (!this.#isAuthenticated) {
      this.#handleHandshake(message);
      return;
    }
    if (message.type === 'open') {
      this.#handleOpen(message);
      return;
    }
    // The peer may send messages before it learns that the stream has ended here; they are dropped.
    if ('stream' in message) this.#streams.get(message.stream)?.receive(message);
  }

  #handleHandshake(message: FrameMessage): void {
    const { answer, instance } = this.#handshake.handle(message);
    if (answer) this.#send(answer);
    if (instance === undefined) return;
    this.#isAuthenticated = true;
    this.#peerInstance = instance;
    this.#socket.setTimeout(0);
    this.#options.onReady?.(instance);
  }

  #handleOpen(message: FrameMessage & { type: 'open' }): void {
    const { handlers } = this.#options;
    const stream = this.#addStream(message.stream);
    if (!Object.hasOwn(handlers, message.method)) {
      stream.fail({ code: 'unknown_method', message: `no method ${String(message.method)}` });
      return;
    }
    if (this.#streams.size > STREAM_COUNT_MAX) {
      stream.fail({ code: 'too_many_streams', message: 'too many streams' });
      return;
    }
    handlers[message.method](message.params, stream, this.#peerInstance);
  }

  #handleClose(): void {
    const streams = [...this.#streams.values()];
    this.#streams.clear();
    streams.forEach((stream) => {
      stream.abort({ code: 'peer_lost', message: this.#error?.message ?? 'connection closed' });
    });
    this.#options.onClose?.(this.#error);
  }
}
