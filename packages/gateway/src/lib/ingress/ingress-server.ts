import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CallerLimits } from '@chervilseam/model';
import { CallerExchange } from './caller-exchange.js';
import { readRequestBody } from './read-request-body.js';

/** Head bytes that are read at all; the limit in force is checked after that. */
const HEADER_BYTES_READ = 64 * 1024;
/** Connections that wait to be accepted; a count. */
const BACKLOG_COUNT = 1_024;
/** Added to the idle time, in milliseconds: a caller reuses a connection up to the limit. */
const IDLE_MARGIN_MS = 2_000;
/** Bytes around each name and value of a header: a colon, a space and a line end for the two. */
const SEPARATOR_BYTES = 2;

/** What the server needs around it. */
interface IngressContext {
  readonly nowMs: () => number;
  readonly limits: () => CallerLimits | undefined;
  /** Takes a request whose body is whole. */
  readonly onRequest: (exchange: CallerExchange, body: Buffer) => void;
}

/** Takes callers' requests and reads them whole. */
export class IngressServer {
  readonly #context: IngressContext;
  readonly #server: Server;
  readonly #sockets = new Map<Socket, number>();
  #isStopping = false;

  /** @param context - what the server needs around it */
  constructor(context: IngressContext) {
    this.#context = context;
    this.#server = createServer({ maxHeaderSize: HEADER_BYTES_READ }, (request, response) => {
      void this.#take(request, response);
    });
    this.#server.on('connection', (socket: Socket) => {
      this.#sockets.set(socket, 0);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    this.#server.requestTimeout = 0;
  }

  /** Requests that are being answered; a count. */
  get openCount(): number {
    return [...this.#sockets.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Connections of callers; a count. */
  get connectionCount(): number {
    return this.#sockets.size;
  }

  /** @param address - where to listen */
  async listen({ host, port }: { readonly host: string; readonly port: number }): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port, backlog: BACKLOG_COUNT }, resolve);
    });
  }

  /** @param limits - limits of the configuration in force */
  apply({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#server.headersTimeout = headerTimeoutMs;
    this.#server.keepAliveTimeout = idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /** Asks callers to take their next request elsewhere: each answer is the last of its connection. */
  startStopping(): void {
    this.#isStopping = true;
  }

  /** Closes connections without a request; one that crosses the closing is never read. */
  closeIdle(): void {
    this.#sockets.forEach((count, socket) => {
      if (count === 0) socket.destroy();
    });
  }

  /** Takes no new connections. */
  close(): void {
    this.#server.close();
  }

  async #take(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = request;
    const { nowMs, limits, onRequest } = this.#context;
    this.#sockets.set(socket, (this.#sockets.get(socket) ?? 0) + 1);
    response.on('close', () => {
      const count = this.#sockets.get(socket);
      if (count !== undefined) this.#sockets.set(socket, count - 1);
      // The head may have promised to keep the connection before the stopping began.
      if (this.#isStopping && count === 1) socket.destroySoon();
    });
    if (this.#isStopping) response.shouldKeepAlive = false;
    const exchange = new CallerExchange(request, response, nowMs());
    const { headerBytesMax = HEADER_BYTES_READ, bodyBytesMax = Infinity } = limits() ?? {};
    const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
    if (headerBytes + request.rawHeaders.length * SEPARATOR_BYTES > headerBytesMax) {
      exchange.refuse(431, 'headers too large');
      return;
    }
    const result = await readRequestBody(request, bodyBytesMax);
    if (result.kind === 'whole') onRequest(exchange, result.body);
    if (result.kind === 'too-large') exchange.refuse(413, 'body too large');
  }
}
