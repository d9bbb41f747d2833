import { connect } from 'node:net';
import { PeerConnection } from './peer-connection.js';
import type { PeerStream } from './peer-stream.js';
import { settleStream } from './settle-stream.js';

/** Default of the longest time until a connection is open and its handshake complete, in milliseconds. */
const CONNECT_TIMEOUT_MS = 2_000;

type ConnectionOptions = ConstructorParameters<typeof PeerConnection>[1];

/** Address on which an instance accepts connections. */
interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

interface PooledConnection {
  readonly connection: PeerConnection;
  /** Resolves once the handshake is complete; rejects if the connection is lost before that. */
  readonly ready: Promise<void>;
}

/**
 * Keeps one connection to each instance that this one sends requests to. A connection is opened when
 * the first stream needs it, and a new one by the next stream after it was lost.
 */
export class PeerPool {
  readonly #options: Omit<ConnectionOptions, 'role' | 'onReady' | 'onClose'>;
  readonly #connections = new Map<string, PooledConnection>();
  readonly #connectTimeoutMs: number;

  /**
   * @param options - options of every connection: name, shared key and handlers
   * @param connectTimeoutMs - longest time until a connection is open and its handshake complete, in
   *   milliseconds
   */
  constructor(
    options: Omit<ConnectionOptions, 'role' | 'onReady' | 'onClose'>,
    connectTimeoutMs = CONNECT_TIMEOUT_MS,
  ) {
    this.#options = options;
    this.#connectTimeoutMs = connectTimeoutMs;
  }

  /**
   * Opens a stream to an instance.
   *
   * @param address - address of the instance
   * @param method - name of the instance's handler
   * @param params - parameters for the handler
   * @returns the stream; set its listener before the next turn of the event loop
   * @throws the connection's error; no part of the request has been sent then
   */
  async open(address: PeerAddress, method: string, params: unknown): Promise<PeerStream> {
    const pooled = this.#connect(address);
    if (!pooled.connection.isReady) await pooled.ready;
    return pooled.connection.open(method, params);
  }

  /**
   * Sends a request and waits for its answer.
   *
   * @param address - address of the instance
   * @param method - name of the instance's handler
   * @param params - parameters for the handler
   * @param timeoutMs - longest wait for the answer on an open connection, in milliseconds
   * @returns the parameters with which the handler ended its stream
   * @throws the connection's error, the handler's failure, or an error after `timeoutMs`
   */
  async call(
    address: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const stream = await this.open(address, method, params);
    return (await settleStream(stream, method, { totalMs: timeoutMs, bytesMax: 0 })).params;
  }

  /**
   * Sends a request and reads the data of its answer, which may be large.
   *
   * @param address - address of the instance
   * @param method - name of the instance's handler
   * @param params - parameters for the handler
   * @param bounds - longest time without data and for the whole answer on an open connection, in
   *   milliseconds, and its largest size, in bytes
   * @returns the data that the handler wrote before it ended its stream
   * @throws the connection's error, the handler's failure, or an error when a bound is exceeded
   */
  async download(
    address: PeerAddress,
    method: string,
    params: unknown,
    bounds: Parameters<typeof settleStream>[2],
  ): Promise<Buffer> {
    const stream = await this.open(address, method, params);
    return (await settleStream(stream, method, bounds)).data;
  }

  /**
   * Closes the connection to an instance, if there is one; its streams fail.
   *
   * @param address - address of the instance
   */
  drop({ host, port }: PeerAddress): void {
    this.#connections.get(`${host}:${port}`)?.connection.close();
  }

  /** Closes every connection. */
  close(): void {
    this.#connections.forEach(({ connection }) => connection.close());
  }

  #connect({ host, port }: PeerAddress): PooledConnection {
    const key = `${host}:${port}`;
    const existing = this.#connections.get(key);
    if (existing) return existing;
    const socket = connect({ host, port });
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no connection to ${key} in ${this.#connectTimeoutMs} ms`));
    }, this.#connectTimeoutMs);
    let connection!: PeerConnection;
    const ready = new Promise<void>((resolve, reject) => {
      connection = new PeerConnection(socket, {
        ...this.#options,
        role: 'client',
        onReady: () => {
          clearTimeout(timer);
          resolve();
        },
        onClose: (error) => {
          clearTimeout(timer);
          this.#connections.delete(key);
          reject(error ?? new Error(`connection to ${key} closed`));
        },
      });
    });
    // When nobody waits for `ready`, its rejection must not count as unhandled: a lost connection is
    // reported to its streams.
    ready.catch(() => {});
    const pooled = { connection, ready };
    this.#connections.set(key, pooled);
    return pooled;
  }
}
