import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { BodyAdmission, stalledBodies } from '@chervilseam/decisions';
import type { HeldMemory, MemoryBudget } from '@chervilseam/decisions';
import type { CallerLimits } from '@chervilseam/model';
import type { CallerHead } from '../ports/caller-head.js';
import { BodyReader } from './body-reader.js';
import { CallerExchange } from './caller-exchange.js';
import { MemoryKind } from './memory-kind.js';
import { RequestFeed } from './request-feed.js';

/**
 * Largest head of a request that is parsed, in bytes; the limit of the configuration in force is checked
 * after parsing.
 */
const HEADER_BYTES_PARSED = 64 * 1024;
/** Number of connections that may wait to be accepted. */
const BACKLOG_COUNT = 1_024;
/**
 * Added to the configured idle time, in milliseconds, as callers reuse a connection until just before
 * that time is over.
 */
const IDLE_MARGIN_MS = 2_000;
/** Bytes counted for each header name and each value: colon, space and CRLF are 4 for the two. */
const SEPARATOR_BYTES = 2;
/** Memory of a request without headers and body, with the state of its run, in bytes. */
const REQUEST_BYTES = 3 * 1024;
/** Memory of a parsed header besides the bytes of its name and value, in bytes: it is kept in a list and by name. */
const HEADER_BYTES = 100;
/** Largest head, with the state of its run, that may wait for memory rather than being refused, in bytes. */
const WAITING_HEAD_BYTES_MAX = 64 * 1024;
/** Longest time that a body may take, in milliseconds, if its caller does not say how long it waits. */
const BODY_TIMEOUT_MS = 60_000;
/** `Retry-After` of a request for which there is no memory, in milliseconds. */
const NO_MEMORY_RETRY_MS = 500;

/** Answer to a request that is not passed on. */
interface Refusal {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs?: number;
}

/** How a request is refused whose body was not read, by the reason. */
const refusalOf: Readonly<Record<'too-large' | 'no-memory' | 'late', Refusal>> = {
  'too-large': { status: 413, reason: 'body too large' },
  'no-memory': {
    status: 503,
    reason: 'no memory for the body',
    retryAfterMs: NO_MEMORY_RETRY_MS,
  },
  late: { status: 408, reason: 'body not complete in time' },
};
/** Answer to a request whose head is too large for the memory that is left. */
const HEAD_REFUSAL: Refusal = {
  status: 503,
  reason: 'no memory for the head',
  retryAfterMs: NO_MEMORY_RETRY_MS,
};
/** Time between two checks of incomplete heads, in milliseconds. */
const HEADS_INTERVAL_MS = 100;
/** Share of the memory budget that incomplete heads may take. */
const HEADS_SHARE = 0.25;

/** What was closed or given up to make room for others. */
type ShedReason = 'connection' | 'stalled body' | 'head';

/** Dependencies of the server. */
interface IngressContext {
  readonly nowMs: () => number;
  /** Longest time that bytes read now may have waited to be read, in milliseconds. */
  readonly lagMs: () => number;
  /** Limits of the configuration in force; `undefined` before the first configuration. */
  readonly limits: () => CallerLimits | undefined;
  /** Memory budget of buffered requests and answers. */
  readonly memory: MemoryBudget<MemoryKind>;
  /** Number of connections that callers may have open at a time. */
  readonly connectionCountMax: number;
  /** Called when a connection is closed, or a body given up, to make room for others. */
  readonly onShed: (what: ShedReason) => void;
  /** @returns what the headers of a request state */
  readonly readHead: (headers: IncomingMessage['headers']) => CallerHead;
  /** Called with a request whose body was read completely. */
  readonly onRequest: (exchange: CallerExchange, head: CallerHead, body: Buffer) => void;
}

/** Accepts callers' requests and reads each body completely before passing the request on. */
export class IngressServer {
  readonly #context: IngressContext;
  readonly #server: Server;
  readonly #feeds = new Map<Socket, RequestFeed>();
  /** Connections without a request so far. */
  readonly #unused = new Set<Socket>();
  /** Connections without an open request, the longest idle one first. */
  readonly #idle = new Set<Socket>();
  /** Requests whose bodies have not been read completely, the oldest first. */
  readonly #unread = new Map<CallerExchange, BodyReader>();
  readonly #admission: BodyAdmission<MemoryKind>;
  /** Bytes that each connection had received when its last request was read or answered. */
  readonly #readBytes = new WeakMap<Socket, number>();
  readonly #heldHeads: HeldMemory;
  #headsDueMs = 0;
  #isStopping = false;

  /** @param context - dependencies of the server */
  constructor(context: IngressContext) {
    this.#context = context;
    this.#admission = new BodyAdmission(context.memory);
    this.#heldHeads = context.memory.hold(MemoryKind.head);
    this.#server = createServer({ maxHeaderSize: HEADER_BYTES_PARSED }, (request, response) => {
      void this.#onRequest(request, response);
    });
    this.#server.on('connection', (socket: Socket) => this.#onConnection(socket));
    this.#server.requestTimeout = 0;
  }

  /** Number of requests that are not completely answered yet. */
  get openCount(): number {
    return [...this.#feeds.values()].reduce((sum, { openCount }) => sum + openCount, 0);
  }

  /** Number of open connections of callers. */
  get connectionCount(): number {
    return this.#feeds.size;
  }

  /** Number of requests whose bodies wait unread until there is memory for them. */
  get waitingBodyCount(): number {
    return this.#admission.waitingCount;
  }

  /** Starts reading bodies that fit into the budget now, and limits incomplete heads. */
  tick(): void {
    const nowMs = this.#context.nowMs();
    this.#admission.tick(nowMs);
    this.#giveUpStalled(nowMs);
    if (nowMs < this.#headsDueMs) return;
    this.#headsDueMs = nowMs + HEADS_INTERVAL_MS;
    this.#boundHeads();
  }

  /** Number of bytes of answers that the kernel has not taken yet. */
  get unsentBytes(): number {
    return [...this.#feeds.keys()].reduce((sum, socket) => sum + socket.writableLength, 0);
  }

  /** @param address - host and port to listen at */
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

  /** Makes each answer the last of its connection, so that callers reconnect to another instance. */
  startStopping(): void {
    this.#isStopping = true;
  }

  /** Closes connections without an open request; a request that arrives at the same time is not read. */
  closeIdle(): void {
    this.#idle.forEach((socket) => socket.destroy());
  }

  /** Refuses the requests whose bodies have not been read completely: they have not run and never will. */
  refuseUnread(): void {
    this.#unread.forEach((_, exchange) => exchange.refuse(503, 'stopping', 0));
  }

  /** Accepts no new connections. */
  close(): void {
    this.#server.close();
  }

  async #onRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = request;
    const { nowMs, lagMs, limits, memory, readHead, onRequest, onShed } = this.#context;
    const feed = this.#feeds.get(socket);
    // What was read before the connection was closed for another reason.
    if (!feed || socket.destroyed) return;
    feed.begin(request, response);
    this.#idle.delete(socket);
    response.on('close', () => {
      this.#readBytes.set(socket, socket.bytesRead);
      if (feed.openCount > 0 || socket.destroyed) return;
      this.#idle.add(socket);
      // The answer's head may have been sent with keep-alive before the shutdown began.
      if (this.#isStopping) socket.destroySoon();
    });
    if (this.#isStopping) response.shouldKeepAlive = false;
    const isFirst = this.#unused.delete(socket);
    const exchange = new CallerExchange(request, response, nowMs(), {
      readLagMs: lagMs(),
      isFirst,
    });
    const { headerBytesMax = HEADER_BYTES_PARSED, bodyBytesMax = Infinity } = limits() ?? {};
    const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
    if (headerBytes + request.rawHeaders.length * SEPARATOR_BYTES > headerBytesMax) {
      IngressServer.#refuseUnread(request, exchange, { status: 431, reason: 'headers too large' });
      return;
    }
    const requestBytes =
      REQUEST_BYTES + headerBytes + (request.rawHeaders.length / 2) * HEADER_BYTES;
    if (requestBytes > WAITING_HEAD_BYTES_MAX && !memory.fits(requestBytes)) {
      IngressServer.#refuseUnread(request, exchange, HEAD_REFUSAL);
      onShed('head');
      return;
    }
    const held = memory.hold(MemoryKind.request);
    response.on('close', () => held.resize(0));
    exchange.holdUnsent(memory);
    const head = readHead(request.headers);
    const reader = new BodyReader(request, {
      bytesMax: bodyBytesMax,
      timeoutMs: Math.min(BODY_TIMEOUT_MS, head.waitMs ?? BODY_TIMEOUT_MS),
      nowMs,
      requestBytes,
      admission: this.#admission,
      held,
    });
    this.#unread.set(exchange, reader);
    const result = await reader.read();
    this.#unread.delete(exchange);
    this.#readBytes.set(socket, socket.bytesRead);
    if (exchange.isOver || result.kind === 'broken') return;
    if (result.kind === 'whole') {
      onRequest(exchange, head, result.body);
      return;
    }
    IngressServer.#refuseUnread(request, exchange, refusalOf[result.kind]);
  }

  // The rest of the body is read and dropped, so that the connection can go on.
  static #refuseUnread(
    request: IncomingMessage,
    exchange: CallerExchange,
    { status, reason, retryAfterMs }: Refusal,
  ): void {
    exchange.refuse(status, reason, retryAfterMs);
    exchange.dropHeaders();
    request.resume();
  }

  #onConnection(socket: Socket): void {
    const { nowMs, memory } = this.#context;
    this.#feeds.set(socket, new RequestFeed(socket, nowMs, memory));
    this.#unused.add(socket);
    this.#idle.add(socket);
    socket.on('close', () => {
      this.#feeds.delete(socket);
      this.#unused.delete(socket);
      this.#idle.delete(socket);
    });
    if (this.#feeds.size > this.#context.connectionCountMax) this.#shedConnection();
  }

  // Closes a connection to stay within the limit: one whose body does not go on, or else the longest idle one, which may
  // be the new one. None of them has a request that may run.
  #shedConnection(): void {
    const { nowMs, onShed } = this.#context;
    const [stalled] = stalledBodies(this.#unread, nowMs());
    const [longestIdle] = this.#idle;
    if (stalled) stalled[0].cut();
    else longestIdle.destroy();
    onShed(stalled ? 'stalled body' : 'connection');
  }

  get #isMemoryNeeded(): boolean {
    return this.#admission.waitingCount > 0 || this.#context.memory.isShort;
  }

  // Gives up bodies that don't go on while others need their memory.
  #giveUpStalled(nowMs: number): void {
    if (!this.#isMemoryNeeded) return;
    stalledBodies(this.#unread, nowMs).forEach(([, reader]) => {
      if (!this.#isMemoryNeeded) return;
      reader.giveUp();
      this.#context.onShed('stalled body');
      this.#admission.tick(nowMs);
    });
  }

  // Counts the incomplete heads of connections without an open request. If they exceed their share of the budget, the
  // connections with the longest heads are closed: they have sent no request yet.
  #boundHeads(): void {
    const partial = [...this.#idle].flatMap((socket) => {
      const bytes = socket.bytesRead - (this.#readBytes.get(socket) ?? 0);
      return bytes > 0 ? [{ socket, bytes }] : [];
    });
    const { memory } = this.#context;
    let sum = partial.reduce((total, { bytes }) => total + bytes, 0);
    if (sum > HEADS_SHARE * memory.limitBytes) {
      partial.sort((left, right) => right.bytes - left.bytes);
      partial.forEach(({ socket, bytes }) => {
        if (sum <= HEADS_SHARE * memory.limitBytes) return;
        socket.destroy();
        sum -= bytes;
      });
    }
    this.#heldHeads.resize(sum);
  }
}
