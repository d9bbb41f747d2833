import { createHmac, timingSafeEqual } from 'node:crypto';
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { isIPv6 } from 'node:net';
import { PeerPool, PeerServer } from '@chervilseam/peer';
import type { PeerStream } from '@chervilseam/peer';
import { decode, encode } from 'cbor-x';

/**
 * Length of the authentication tag (truncated HMAC-SHA256) at the start of each datagram, in bytes.
 */
const TAG_BYTES = 16;
/** Maximum size of a received datagram, in bytes. */
const DATAGRAM_BYTES_MAX = 16_000;

/** Handles a call of the instance `from`. */
type StreamHandler = (params: unknown, stream: PeerStream, from: string) => void;

/** Name and address of another instance. */
interface PeerTarget {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

interface PeerNodeOptions {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  /** Secret shared by all instances, which authenticates connections and datagrams. */
  readonly secret: string;
  /** Handlers by the name of the method that other instances call. */
  readonly handlers: Readonly<Record<string, StreamHandler>>;
  /** Receives the message of each datagram with a valid tag. */
  readonly onDatagram: (message: unknown) => void;
  /** Called with the reason when a connection or a datagram is rejected. */
  readonly onRejected: (reason: string) => void;
  /** Called with the bytes that were sent and received on streams. */
  readonly onStreamBytes: (sentBytes: number, receivedBytes: number) => void;
  /** Called with the bytes of each datagram that is sent or received. */
  readonly onDatagramBytes: (sentBytes: number, receivedBytes: number) => void;
}

/** The streams (TCP) and heartbeats (UDP) of an instance, on the same port number. */
export class PeerNode {
  /**
   * Names of instances to and from which all traffic is dropped, for tests of network partitions.
   */
  readonly blocked = new Set<string>();
  readonly #options: PeerNodeOptions;
  readonly #server: PeerServer;
  readonly #pool: PeerPool;
  readonly #socket: Socket;
  #port = 0;

  /** @param options - address, secret and handlers */
  constructor(options: PeerNodeOptions) {
    this.#options = options;
    const handlers = Object.fromEntries(
      Object.entries(options.handlers).map(([method, handler]) => [
        method,
        this.#skipBlocked(handler),
      ]),
    );
    const connection = {
      instance: options.name,
      secret: options.secret,
      handlers,
      onBytes: options.onStreamBytes,
    };
    this.#server = new PeerServer(connection, (error) => options.onRejected(error.message));
    this.#pool = new PeerPool(connection);
    this.#socket = createSocket(isIPv6(options.host) ? 'udp6' : 'udp4');
    this.#socket.on('message', (datagram) => this.#receive(datagram));
    this.#socket.on('error', (error) => options.onRejected(error.message));
  }

  /** Port that {@link listen} has bound; 0 before that. */
  get port(): number {
    return this.#port;
  }

  /** Binds the port for streams and datagrams. */
  async listen(): Promise<void> {
    const { host, port } = this.#options;
    this.#port = await this.#server.listen(host, port);
    await new Promise<void>((resolve) => {
      this.#socket.bind(this.#port, host, resolve);
    });
  }

  /**
   * Opens a stream to another instance.
   *
   * @throws the connection's error; nothing of the call has been sent in that case
   */
  open(target: PeerTarget, method: string, params: unknown): Promise<PeerStream> {
    if (this.blocked.has(target.name)) return Promise.reject(new Error('blocked for a test'));
    return this.#pool.open(target, method, params);
  }

  /**
   * Calls a method of another instance that has a single answer.
   *
   * @throws the connection's error, the handler's failure, or a timeout
   */
  call(target: PeerTarget, method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    if (this.blocked.has(target.name)) return Promise.reject(new Error('blocked for a test'));
    return this.#pool.call(target, method, params, timeoutMs);
  }

  /**
   * Reads the data that a method of another instance answers with, which may be large.
   *
   * @throws the connection's error, the handler's failure, or an error when a bound is exceeded
   */
  download(
    target: PeerTarget,
    method: string,
    params: unknown,
    bounds: Parameters<PeerPool['download']>[3],
  ): Promise<Buffer> {
    if (this.blocked.has(target.name)) return Promise.reject(new Error('blocked for a test'));
    return this.#pool.download(target, method, params, bounds);
  }

  /**
   * Sends a datagram, which may be lost.
   *
   * @param target - the other instance
   * @param message - the value to send, encoded as CBOR
   */
  send(target: PeerTarget, message: unknown): void {
    if (this.blocked.has(target.name)) return;
    const body = encode(message);
    const datagram = Buffer.concat([this.#tag(body), body]);
    this.#options.onDatagramBytes(datagram.length, 0);
    // On loopback, sending to an instance that has exited is an error. It is ignored, because the
    // membership detects the loss of an instance by missing acks of heartbeats.
    this.#socket.send(datagram, target.port, target.host, () => {});
  }

  /** Closes all connections and the port without waiting for streams in progress. */
  close(): void {
    this.#pool.close();
    this.#server.close();
    this.#socket.close();
  }

  // Drops calls of blocked instances.
  #skipBlocked(handler: StreamHandler): StreamHandler {
    return (params, stream, from) => {
      if (this.blocked.has(from)) return;
      handler(params, stream, from);
    };
  }

  #receive(datagram: Buffer): void {
    this.#options.onDatagramBytes(0, datagram.length);
    const body = datagram.subarray(TAG_BYTES);
    const tag = datagram.subarray(0, TAG_BYTES);
    if (tag.length < TAG_BYTES || datagram.length > DATAGRAM_BYTES_MAX) {
      this.#options.onRejected('datagram is too large or shorter than its tag');
      return;
    }
    if (!timingSafeEqual(tag, this.#tag(body))) {
      this.#options.onRejected('datagram has an invalid authentication tag');
      return;
    }
    const message = decode(body) as { from?: string };
    if (!this.blocked.has(message.from ?? '')) this.#options.onDatagram(message);
  }

  #tag(body: Uint8Array): Buffer {
    const digest = createHmac('sha256', this.#options.secret).update(body).digest();
    return digest.subarray(0, TAG_BYTES);
  }
}
