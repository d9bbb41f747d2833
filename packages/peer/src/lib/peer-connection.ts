import type { Socket } from 'node:net';
import verror from 'verror';
import { FrameCodec } from './frame-codec.js';
import type { FrameMessage } from './frame-message.js';
import { Handshake } from './handshake.js';
import { PeerStream } from './peer-stream.js';

const HANDSHAKE_TIMEOUT_MS = 5_000;
const STREAM_COUNT_MAX = 20_000;

/** Answers a stream that the other side opened. */
type StreamHandler = (params: unknown, stream: PeerStream, from: string) => void;

/** What a connection needs to know of its owner. */
interface PeerConnectionOptions {
  readonly role: 'client' | 'server';
  readonly instance: string;
  readonly secret: string;
  /** Handlers of the methods that the other side may open. */
  readonly handlers: Readonly<Record<string, StreamHandler>>;
  readonly onReady?: (instance: string) => void;
  readonly onClose?: (error: Error | undefined) => void;
  /** Counts bytes for the metrics: positive numbers, sent and received. */
  readonly onBytes?: (sentBytes: number, receivedBytes: number) => void;
}

/** Many streams over one TCP connection between two instances that know the same key. */
export class PeerConnection {
  readonly #socket: Socket;
  readonly #options: PeerConnectionOptions;
  readonly #codec = new FrameCodec();
  readonly #handshake: Handshake;
  readonly #streams = new Map<number, PeerStream>();
  #nextStream: number;
  #remote = '';
  #isProven = false;
  #isCorked = false;
  #error: Error | undefined;

  /**
   * @param socket - the connected or connecting socket
   * @param options - key, handlers and listeners
   */
  constructor(socket: Socket, options: PeerConnectionOptions) {
    this.#socket = socket;
    this.#options = options;
    this.#handshake = new Handshake(options.role, options.instance, options.secret);
    // Odd numbers are opened by the client and even ones by the server, so they never collide.
    this.#nextStream = options.role === 'client' ? 1 : 2;
    socket.setNoDelay(true);
    socket.setTimeout(HANDSHAKE_TIMEOUT_MS, () => {
      this.close(new verror.VError({ name: 'HandshakeError' }, 'no proof in time'));
    });
    socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    socket.on('error', (error) => this.close(error));
    socket.on('close', () => this.#closed());
    this.#post(this.#handshake.hello);
  }

  /** Whether the other side has proved that it knows the key. */
  get isReady(): boolean {
    return this.#isProven && !this.#socket.destroyed;
  }

  /**
   * Opens a stream.
   *
   * @param method - name of the handler at the other side
   * @param params - what the handler gets
   * @returns the stream, whose listener must be set in the same turn
   */
  open(method: string, params: unknown): PeerStream {
    const id = this.#nextStream;
    this.#nextStream += 2;
    const stream = this.#addStream(id);
    this.#post({ type: 'open', stream: id, method, params });
    return stream;
  }

  /**
   * Closes the connection; its streams fail.
   *
   * @param error - why, for the listener
   */
  close(error?: Error): void {
    this.#error ??= error;
    this.#socket.destroy();
  }

  #addStream(id: number): PeerStream {
    const stream = new PeerStream(
      id,
      (message) => this.#post(message),
      (closed) => this.#streams.delete(closed),
    );
    this.#streams.set(id, stream);
    return stream;
  }

  #post(message: FrameMessage): void {
    if (this.#socket.destroyed) return;
    // Frames written in one turn of the loop leave in one packet: a system call costs more than
    // the encoding of a frame.
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
      this.#codec.decode(chunk).forEach((message) => this.#take(message));
    } catch (error) {
      this.close(error as Error);
    }
  }

  #take(message: FrameMessage): void {
    if (!this.#isProven) {
      this.#takeHandshake(message);
      return;
    }
    if (message.type === 'open') {
      this.#takeOpen(message);
      return;
    }
    // A message for a stream that ended crossed with its end and is dropped.
    if ('stream' in message) this.#streams.get(message.stream)?.take(message);
  }

  #takeHandshake(message: FrameMessage): void {
    const { answer, instance } = this.#handshake.take(message);
    if (answer) this.#post(answer);
    if (instance === undefined) return;
    this.#isProven = true;
    this.#remote = instance;
    this.#socket.setTimeout(0);
    this.#options.onReady?.(instance);
  }

  #takeOpen(message: FrameMessage & { type: 'open' }): void {
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
    handlers[message.method](message.params, stream, this.#remote);
  }

  #closed(): void {
    const streams = [...this.#streams.values()];
    this.#streams.clear();
    streams.forEach((stream) => {
      stream.abort({ code: 'peer_lost', message: this.#error?.message ?? 'connection closed' });
    });
    this.#options.onClose?.(this.#error);
  }
}
