import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** Largest part that is forwarded at once, in bytes, so that connections share the link evenly. */
const PART_BYTES_MAX = 2_048;
const MS_PER_SECOND = 1_000;

/** Forwards the connections to a server at a limited rate, which all connections share. */
export class SlowLink {
  readonly #server: Server;
  readonly #bytesPerSecond: number;
  readonly #sockets = new Set<Socket>();
  /** When the link has sent all that it has accepted, in milliseconds. */
  #freeMs = 0;

  /**
   * @param port - port of the server on the loopback interface
   * @param bytesPerSecond - rate of the link, both directions together
   */
  constructor(port: number, bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond;
    this.#server = createServer((client) => {
      const server = connect({ host: '127.0.0.1', port });
      [client, server].forEach((socket) => {
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        socket.on('error', () => socket.destroy());
        socket.on('close', () => {
          client.destroy();
          server.destroy();
          this.#sockets.delete(socket);
        });
      });
      this.#forward(client, server);
      this.#forward(server, client);
    });
  }

  /**
   * Starts listening.
   *
   * @param port - port on the loopback interface that the link is reached at
   */
  async listen(port: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(port, '127.0.0.1', resolve);
    });
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #forward(from: Socket, to: Socket): void {
    from.on('data', (chunk: Buffer) => {
      from.pause();
      void this.#send(chunk, to).then(() => from.resume());
    });
    from.on('end', () => to.end());
  }

  async #send(chunk: Buffer, to: Socket): Promise<void> {
    for (let start = 0; start < chunk.length; start += PART_BYTES_MAX) {
      const part = chunk.subarray(start, start + PART_BYTES_MAX);
      // eslint-disable-next-line no-await-in-loop
      await this.#take(part.length);
      if (!to.destroyed) to.write(part);
    }
  }

  async #take(bytes: number): Promise<void> {
    const nowMs = performance.now();
    this.#freeMs = Math.max(nowMs, this.#freeMs) + (bytes / this.#bytesPerSecond) * MS_PER_SECOND;
    await sleep(this.#freeMs - nowMs);
  }
}
