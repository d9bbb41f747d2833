import { connect } from 'node:net';
import { PeerConnection } from './peer-connection.js';
import type { PeerStream } from './peer-stream.js';

const CONNECT_TIMEOUT_MS = 2_000;

type ConnectionOptions = ConstructorParameters<typeof PeerConnection>[1];

/** Where an instance takes connections. */
interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

interface PooledConnection {
  readonly connection: PeerConnection;
  readonly ready: Promise<void>;
}

/** One connection to each instance that is spoken to, made on demand and made again when lost. */
export class PeerPool {
  readonly #options: Omit<ConnectionOptions, 'role' | 'onReady' | 'onClose'>;
  readonly #connections = new Map<string, PooledConnection>();

  /** @param options - key, handlers and counters of each connection */
  constructor(options: Omit<ConnectionOptions, 'role' | 'onReady' | 'onClose'>) {
    this.#options = options;
  }

  /**
   * Opens a stream to an instance.
   *
   * @param address - where it listens
   * @param method - handler at the other side
   * @param params - what the handler gets
   * @returns the stream
   * @throws the connection's error; nothing of the request has been sent then
   */
  async open(address: PeerAddress, method: string, params: unknown): Promise<PeerStream> {
    const pooled = this.#connect(address);
    if (!pooled.connection.isReady) await pooled.ready;
    return pooled.connection.open(method, params);
  }

  /**
   * Asks one question.
   *
   * @param address - where the instance listens
   * @param method - handler at the other side
   * @param params - the question
   * @param timeoutMs - how long to wait, in milliseconds
   * @returns what the handler ended its stream with
   * @throws the connection's error, the handler's failure, or a time-out
   */
  async call(
    address: PeerAddress,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const stream = await this.open(address, method, params);
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        stream.fail({ code: 'timeout', message: 'timed out' });
        reject(new Error(`${method} timed out after ${timeoutMs} ms`));
      }, timeoutMs);
      stream.listener = {
        onEnd: (answer) => {
          clearTimeout(timer);
          resolve(answer);
        },
        onFail: (reason) => {
          clearTimeout(timer);
          const { message } = (reason ?? {}) as { message?: string };
          reject(new Error(message ?? 'the other side failed'));
        },
      };
      stream.end();
    });
  }

  /**
   * Closes the connection to an instance, if there is one; the next stream makes a new one.
   *
   * @param address - where the instance listens
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
      socket.destroy(new Error(`no connection to ${key} in ${CONNECT_TIMEOUT_MS} ms`));
    }, CONNECT_TIMEOUT_MS);
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
    // A loss after the connection was ready reaches its streams; nobody may be waiting here.
    ready.catch(() => {});
    const pooled = { connection, ready };
    this.#connections.set(key, pooled);
    return pooled;
  }
}
