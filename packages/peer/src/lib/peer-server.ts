import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { PeerConnection } from './peer-connection.js';

/** Maximum number of open connections; the server drops further ones. */
const CONNECTION_COUNT_MAX = 2_000;

type ConnectionOptions = ConstructorParameters<typeof PeerConnection>[1];

/** Accepts connections from other instances. */
export class PeerServer {
  readonly #server: Server;
  readonly #connections = new Set<PeerConnection>();

  /**
   * @param options - options of every connection: name, shared key and handlers
   * @param onConnectionError - called for each connection that ended with an error
   */
  constructor(
    options: Omit<ConnectionOptions, 'role' | 'onReady' | 'onClose'>,
    onConnectionError: (error: Error) => void = () => {},
  ) {
    this.#server = createServer((socket) => {
      const connection: PeerConnection = new PeerConnection(socket, {
        ...options,
        role: 'server',
        onClose: (error) => {
          this.#connections.delete(connection);
          if (error) onConnectionError(error);
        },
      });
      this.#connections.add(connection);
    });
    this.#server.maxConnections = CONNECTION_COUNT_MAX;
  }

  /**
   * @param host - IP address to listen on
   * @param port - port, or 0 for any free one
   * @returns the port on which the server listens
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
