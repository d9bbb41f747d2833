import { timingSafeEqual } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import findMyWay from 'find-my-way';
import { keyDigestOf, Outcome } from '@chervilseam/model';
import { HttpReply } from './http-reply.js';
import { readBody } from './read-body.js';

const CONNECTION_COUNT_MAX = 100;
const BODY_BYTES_MAX = 64 * 1024;

type Query = Readonly<Record<string, string | undefined>>;

/** What the HTTP server for operators serves. */
interface OperatorContext {
  readonly host: string;
  readonly port: number;
  readonly operatorKey: string;
  /** @returns whether the instance is ready; the platform's health checks need no key for it */
  readonly isReady: () => boolean;
  /** @returns the metrics in the text format of Prometheus, which need no key either */
  readonly metrics: () => Promise<string>;
  /** JSON pages by path without the leading `/`; they need the operators' key. */
  readonly pages: Readonly<Record<string, (query: Query) => unknown>>;
  /** Actions by path without the leading `/`; they need the operators' key. */
  readonly actions: Readonly<Record<string, (body: Readonly<Record<string, unknown>>) => unknown>>;
}

// Digests have equal lengths, which `timingSafeEqual` requires.
const digestOf = (text: string): Buffer => Buffer.from(keyDigestOf(text), 'hex');

/** The HTTP server for operators and health checks, on a port of its own. */
export class OperatorFront {
  readonly #context: OperatorContext;
  readonly #server: Server;
  readonly #router = findMyWay({
    defaultRoute: (_request, response) =>
      new HttpReply(response).json(404, { error: 'no such page' }),
  });

  /** @param context - address, key, pages and actions */
  constructor(context: OperatorContext) {
    this.#context = context;
    this.#server = createServer((request, response) => this.#router.lookup(request, response));
    this.#server.maxConnections = CONNECTION_COUNT_MAX;
    this.#router.on('GET', '/livez', (_request, response) => {
      new HttpReply(response).json(200, { live: true });
    });
    this.#router.on('GET', '/readyz', (_request, response) => {
      const isReady = context.isReady();
      new HttpReply(response).json(isReady ? 200 : 503, { ready: isReady });
    });
    this.#router.on('GET', '/metrics', (_request, response) => {
      this.#sendMetrics(response);
    });
    Object.entries(context.pages).forEach(([path, page]) => this.#addPage(path, page));
    Object.entries(context.actions).forEach(([path, action]) => this.#addAction(path, action));
  }

  /** @returns the port that the server listens on */
  async listen(): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#context.port, this.#context.host, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops listening and destroys every connection. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #addPage(path: string, page: OperatorContext['pages'][string]): void {
    this.#router.on('GET', `/${path}`, (request, response, _params, _store, query) => {
      const reply = new HttpReply(response);
      if (!this.#isOperator(request)) reply.json(401, { error: 'no key' });
      else reply.json(200, page(query), Outcome.ran);
    });
  }

  #addAction(path: string, action: OperatorContext['actions'][string]): void {
    this.#router.on('POST', `/${path}`, async (request, response) => {
      const reply = new HttpReply(response);
      if (!this.#isOperator(request)) {
        reply.json(401, { error: 'no key' });
        return;
      }
      try {
        const body = await readBody(request, BODY_BYTES_MAX);
        reply.json(200, action(JSON.parse(body.toString())), Outcome.ran);
      } catch (error) {
        reply.json(400, { error: (error as Error).message });
      }
    });
  }

  async #sendMetrics(response: ServerResponse): Promise<void> {
    const text = await this.#context.metrics();
    response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
    response.end(text);
  }

  #isOperator(request: IncomingMessage): boolean {
    const given = digestOf(request.headers.authorization ?? '');
    return timingSafeEqual(given, digestOf(`Bearer ${this.#context.operatorKey}`));
  }
}
