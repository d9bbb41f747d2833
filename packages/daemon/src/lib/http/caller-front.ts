import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import findMyWay from 'find-my-way';
import { classifyRequest } from '@chervilseam/decisions';
import type { ConfigView, RequestTarget } from '@chervilseam/decisions';
import { Outcome, RefusalError } from '@chervilseam/model';
import type { RefusalCode } from '@chervilseam/model';
import type { CallerRequest } from '../entry/caller-request.js';
import type { Entry } from '../entry/entry.js';
import type { Settings } from '../settings/settings.js';
import { authenticate } from './authenticate.js';
import { HttpReply } from './http-reply.js';
import { parseModelRequest } from './parse-model-request.js';
import { readBody } from './read-body.js';
import { forwardedHeaders } from './forwarded-headers.js';
import { streamBody } from './stream-body.js';

const DEADLINE_HEADER = 'chervilseam-deadline-ms';
/** Maximum length of an `Idempotency-Key`, in characters. */
const KEY_LENGTH_MAX = 200;
/** Length of the queue of connections to accept: a load balancer may open many at once. */
const BACKLOG_COUNT = 4_096;
/** Longest body of a service request that is kept for retries, in bytes. */
const REPEATABLE_BYTES_MAX = 64 * 1024;

/** Dependencies of the HTTP server for callers. */
interface CallerFrontContext {
  readonly settings: Settings;
  /** @returns the configuration in force */
  readonly view: () => ConfigView;
  readonly entry: Entry;
  /** @returns why new requests are refused, or `undefined` if they are accepted */
  readonly refusalCode: () => RefusalCode | undefined;
}

/** An HTTP request of a caller and the reply to it. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly reply: HttpReply;
  /** Parameters in the path of the route. */
  readonly params: Readonly<Record<string, string | undefined>>;
}

type Handler = (exchange: Exchange) => void | Promise<void>;

const refusal = (code: RefusalCode, message: string): RefusalError =>
  new RefusalError({ code, outcome: Outcome.notRun }, message);

/** The HTTP server for callers, with the paths of the OpenAI API and those of plain services. */
export class CallerFront {
  readonly #context: CallerFrontContext;
  readonly #server: Server;
  readonly #router = findMyWay({
    ignoreTrailingSlash: true,
    defaultRoute: (_request, response) =>
      new HttpReply(response).refuse(refusal('route_not_found', 'no such path')),
  });

  /** @param context - settings, configuration, and the entry that runs the requests */
  constructor(context: CallerFrontContext) {
    this.#context = context;
    const { limits } = context.settings;
    this.#server = createServer(
      {
        maxHeaderSize: limits.headerBytesMax,
        headersTimeout: limits.headerTimeoutMs,
        requestTimeout: limits.bodyTimeoutMs,
      },
      (request, response) => this.#router.lookup(request, response),
    );
    // Node.js drops further headers silently. One more than the limit is kept, so that a request over
    // the limit can be recognized and refused.
    this.#server.maxHeadersCount = limits.headerCountMax + 1;
    this.#server.maxConnections = limits.connectionCountMax;
    this.#route('POST', '/v1/chat/completions', (exchange) =>
      this.#handleModel(exchange, 'messages'),
    );
    this.#route('POST', '/v1/completions', (exchange) => this.#handleModel(exchange, 'prompt'));
    this.#route('GET', '/v1/models', (exchange) => this.#listModels(exchange));
    this.#route('POST', '/v1/keys', (exchange) => this.#mintKey(exchange));
    this.#router.all(
      '/services/:service',
      this.#handler((exchange) => this.#handleService(exchange)),
    );
    this.#router.all(
      '/services/:service/*',
      this.#handler((exchange) => this.#handleService(exchange)),
    );
  }

  /** @returns the port that the server listens on */
  async listen(): Promise<number> {
    const { host, callerPort } = this.#context.settings.listen;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(callerPort, host, BACKLOG_COUNT, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Accepts no new connections and closes idle ones; requests in progress continue. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Stops listening and destroys every connection. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #route(method: 'GET' | 'POST', path: string, handler: Handler): void {
    this.#router.on(method, path, this.#handler(handler));
  }

  #handler(handler: Handler) {
    return (request: unknown, response: unknown, params: Exchange['params']): void => {
      const reply = new HttpReply(response as ServerResponse);
      this.#run(handler, { request: request as IncomingMessage, reply, params });
    };
  }

  async #run(handler: Handler, exchange: Exchange): Promise<void> {
    try {
      const code = this.#context.refusalCode();
      if (code) throw refusal(code, 'this instance takes no new requests');
      this.#checkHeaders(exchange.request);
      await handler(exchange);
    } catch (error) {
      const known = error instanceof RefusalError;
      const options = {
        code: 'internal',
        outcome: Outcome.unknown,
        cause: error as Error,
      } as const;
      exchange.reply.refuse(known ? error : new RefusalError(options, 'an unexpected fault'));
      exchange.request.resume();
    }
  }

  #checkHeaders({ rawHeaders }: IncomingMessage): void {
    const { headerCountMax } = this.#context.settings.limits;
    // In `rawHeaders`, names and values alternate.
    if (rawHeaders.length / 2 <= headerCountMax) return;
    throw refusal('bad_request', `the request has more than ${headerCountMax} header lines`);
  }

  async #handleModel(exchange: Exchange, promptField: 'messages' | 'prompt'): Promise<void> {
    const { request, reply } = exchange;
    const caller = this.#authenticate(request);
    const body = await readBody(request, this.#context.settings.limits.bodyBytesMax);
    const { target, isStreamed } = parseModelRequest(body, promptField);
    this.#checkModel(target);
    const deliveryMode = isStreamed ? 'events' : 'whole';
    this.#startRequest(
      caller,
      target,
      this.#toCallerRequest(request, request.url ?? '/', body, deliveryMode),
      reply,
    );
  }

  #checkModel({ model, adapter }: RequestTarget & { kind: 'model' }): void {
    const view = this.#context.view();
    if (!view.models.has(model)) throw refusal('model_not_found', `no model "${model}"`);
    if (adapter === undefined || view.adapters.get(adapter)?.model === model) return;
    throw refusal('model_not_found', `model "${model}" has no adapter "${adapter}"`);
  }

  #listModels({ request, reply }: Exchange): void {
    this.#authenticate(request);
    const view = this.#context.view();
    const adapters = [...view.adapters.values()].map(({ model, name }) => `${model}:${name}`);
    const data = [...view.models.keys(), ...adapters].map((id) => ({
      id,
      object: 'model',
      created: 0,
      owned_by: 'chervilseam',
    }));
    reply.json(200, { object: 'list', data }, Outcome.ran);
  }

  #mintKey({ request, reply }: Exchange): void {
    this.#authenticate(request);
    request.resume();
    reply.json(200, { key: this.#context.entry.mintKey() }, Outcome.ran);
  }

  async #handleService({ request, reply, params }: Exchange): Promise<void> {
    const caller = this.#authenticate(request);
    const service = params.service ?? '';
    if (!this.#context.view().services.has(service)) {
      throw refusal('service_not_found', `no service "${service}"`);
    }
    const method = request.method ?? 'GET';
    const target: RequestTarget = { kind: 'service', service, method };
    const path = (request.url ?? '/').slice(`/services/${service}`.length) || '/';
    const isKeyed = request.headers['idempotency-key'] !== undefined;
    const { bodyBytesMax } = this.#context.settings.limits;
    const { body, streamTo } = await streamBody(
      request,
      isKeyed ? bodyBytesMax : REPEATABLE_BYTES_MAX,
    );
    // The claim of an idempotency key contains a digest of the whole request, so the whole body is
    // needed before the request starts.
    if (isKeyed && !body) throw refusal('body_too_large', 'the body is too large for a key');
    const callerRequest = this.#toCallerRequest(request, path, body, 'pipe');
    const run = this.#startRequest(caller, target, callerRequest, reply);
    if (run) streamTo(run);
  }

  #startRequest(
    caller: string,
    target: RequestTarget,
    request: CallerRequest,
    reply: HttpReply,
  ): ReturnType<Entry['begin']> {
    const requestClass = classifyRequest(this.#context.view(), caller, target);
    return this.#context.entry.begin(caller, target, requestClass, request, reply);
  }

  #authenticate(request: IncomingMessage): string {
    return authenticate(this.#context.view(), request.headers.authorization);
  }

  // eslint-disable-next-line class-methods-use-this -- kept next to the methods that use it
  #toCallerRequest(
    request: IncomingMessage,
    path: string,
    body: Buffer | undefined,
    deliveryMode: CallerRequest['deliveryMode'],
  ): CallerRequest {
    const { headers, method } = request;
    return {
      method: method ?? 'GET',
      path,
      headers: forwardedHeaders(headers),
      body,
      deliveryMode,
      traceparent: headers.traceparent as string | undefined,
      idempotencyKey: CallerFront.#parseKey(headers['idempotency-key'] as string | undefined),
      deadlineMs: CallerFront.#parseDeadline(headers[DEADLINE_HEADER] as string | undefined),
    };
  }

  static #parseKey(value: string | undefined): string | undefined {
    if (value === undefined || (value !== '' && value.length <= KEY_LENGTH_MAX)) return value;
    throw refusal('bad_request', `Idempotency-Key must have 1 to ${KEY_LENGTH_MAX} letters`);
  }

  static #parseDeadline(value: string | undefined): number | undefined {
    if (value === undefined) return undefined;
    const deadlineMs = Number(value);
    if (Number.isInteger(deadlineMs) && deadlineMs > 0) return deadlineMs;
    throw refusal('bad_request', `${DEADLINE_HEADER} must be a whole number of milliseconds`);
  }
}
