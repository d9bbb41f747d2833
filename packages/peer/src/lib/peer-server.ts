import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { PeerConnection } from './peer-connection.js';

const CONNECTION_COUNT_MAX = 2_000;

type ConnectionOptions = ConstructorParameters<typeof PeerConnection>[1];

/** Takes connections from other instances. */
export class PeerServer {
  readonly #server: Server;
  readonly #connections = new Set<PeerConnection>();

  /**
   * @param options - key, handlers and counters of each connection
   * @param onRejected - told of connections that failed, with the reason
   */
  constructor(
    options: Omit<ConnectionOptions, 'role' | 'onReady' | 'onClose'>,
    onRejected: (error: Error) => void = () => {},
  ) {
    this.#server = createServer((socket) => {
      const connection: PeerConnection = new PeerConnection(socket, {
        ...options,
        role: 'server',
        onClose: (error) => {
          this.#connections.delete(connection);
          if (error) onRejected(error);
        },
      });
      this.#connections.add(connection);
    });
    this.#server.maxConnections = CONNECTION_COUNT_MAX;
  }

  /**
   * @param host - IP number to listen on
   * @param port - port, or 0 for any
   * @returns the port taken
   */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops listening and closes every connection. */
  close(): void {
    this.#server.close();
    this.#connections.forEach((connection) => connection.close());
  }
}
