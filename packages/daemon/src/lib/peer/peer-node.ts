import { createHmac, timingSafeEqual } from 'node:crypto';
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { isIPv6 } from 'node:net';
import { PeerPool, PeerServer } from '@chervilseam/peer';
import type { PeerStream } from '@chervilseam/peer';
import { decode, encode } from 'cbor-x';

const TAG_BYTES = 16;
const DATAGRAM_BYTES_MAX = 16_000;

type StreamHandler = (params: unknown, stream: PeerStream, from: string) => void;

/** Where another instance is reached. */
interface PeerTarget {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

interface PeerNodeOptions {
  readonly name: string;
  readonly host: string;
  readonly port: number;
  readonly secret: string;
  readonly handlers: Readonly<Record<string, StreamHandler>>;
  /** Takes the message of a datagram whose tag is right. */
  readonly onDatagram: (message: unknown) => void;
  readonly onRejected: (reason: string) => void;
  readonly onStreamBytes: (sentBytes: number, receivedBytes: number) => void;
  readonly onDatagramBytes: (sentBytes: number, receivedBytes: number) => void;
}

/** One instance's streams (TCP) and heartbeats (UDP) on one port. */
export class PeerNode {
  /** Names of instances that nothing is sent to and nothing is taken from; for tests of cuts. */
  readonly blocked = new Set<string>();
  readonly #options: PeerNodeOptions;
  readonly #server: PeerServer;
  readonly #pool: PeerPool;
  readonly #socket: Socket;
  #port = 0;

  /** @param options - address, key and handlers */
  constructor(options: PeerNodeOptions) {
    this.#options = options;
    const handlers = Object.fromEntries(
      Object.entries(options.handlers).map(([method, handler]) => [method, this.#guard(handler)]),
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

  /** Port taken by {@link listen}. */
  get port(): number {
    return this.#port;
  }

  /** Takes the port for streams and datagrams. */
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
   * @throws any connection error; nothing has been sent then
   */
  open(target: PeerTarget, method: string, params: unknown): Promise<PeerStream> {
    if (this.blocked.has(target.name)) return Promise.reject(new Error('cut off'));
    return this.#pool.open(target, method, params);
  }

  /**
   * Asks another instance one question.
   *
   * @throws the connection's error, the handler's failure, or a time-out
   */
  call(target: PeerTarget, method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    if (this.blocked.has(target.name)) return Promise.reject(new Error('cut off'));
    return this.#pool.call(target, method, params, timeoutMs);
  }

  /**
   * Sends a datagram, which may be lost.
   *
   * @param target - the other instance
   * @param message - value to encode
   */
  send(target: PeerTarget, message: unknown): void {
    if (this.blocked.has(target.name)) return;
    const body = encode(message);
    const datagram = Buffer.concat([this.#tag(body), body]);
    this.#options.onDatagramBytes(datagram.length, 0);
    // A datagram to a dead instance fails on loopback; heartbeats notice by themselves.
    this.#socket.send(datagram, target.port, target.host, () => {});
  }

  /** Closes everything at once. */
  close(): void {
    this.#pool.close();
    this.#server.close();
    this.#socket.close();
  }

  #guard(handler: StreamHandler): StreamHandler {
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
      this.#options.onRejected('datagram of a wrong size');
      return;
    }
    if (!timingSafeEqual(tag, this.#tag(body))) {
      this.#options.onRejected('datagram with a wrong tag');
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
