import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { CompletionFormat } from './completion-format.js';
import { engineAnswer } from './engine-answer.js';
import { EngineMemory } from './engine-memory.js';
import { HttpStandIn } from './http-stand-in.js';
import { PriorityGate } from './priority-gate.js';

const CACHED_PREFIX_COUNT_MAX = 64;
const DEFAULT_TOKEN_COUNT = 16;
const CACHE_EVENT_COUNT_MAX = 1_000;
const LOST_EVENT_EVERY = 10;

interface EngineOptions {
  readonly memoryBytes?: number;
  readonly checksFencing?: boolean;
  /** What is resident at the start: `model/NAME@VERSION` or `adapter/NAME`, with bytes. */
  readonly residents?: Readonly<Record<string, number>>;
  /** Time between tokens of one stream, in milliseconds. */
  readonly tokenMs?: number;
  /** Time to read one prompt, in milliseconds; a tenth when its prefix is cached. */
  readonly prefillMs?: number;
  /** Streams that run at full speed side by side; more slow all of them. */
  readonly batchSize?: number;
  /** Streams that fit the memory; more wait by priority. */
  readonly streamCountMax?: number;
  /** How late a load report is, in milliseconds. */
  readonly reportLagMs?: number;
  /** How long an order to load takes when no weight store is given, in milliseconds. */
  readonly loadMs?: number;
  readonly weightStoreUrl?: string;
}

interface CompletionBody {
  readonly model: string;
  readonly messages?: readonly { readonly content: unknown }[];
  readonly prompt?: unknown;
  readonly max_tokens?: number;
  readonly stream?: boolean;
  /** Tokens that the caller has from an attempt that broke: the answer goes on after them. */
  readonly resume_after_tokens?: number;
}

interface EngineReport {
  readonly atMs: number;
  readonly bootId: string;
  readonly running: number;
  readonly residents: Readonly<Record<string, number>>;
  readonly usedBytes: number;
  readonly fence: number;
  /** Ids of the orders that were carried out or refused so far, newest last. */
  readonly settledOrders: readonly string[];
}

type Order = Parameters<EngineMemory['apply']>[0];

let bootCount = 0;

/** A model engine: batches, streams, caches prefixes, reports late, takes orders. */
export class EngineStandIn extends HttpStandIn {
  readonly memory: EngineMemory;
  /** Requests that started to run, by attempt id. */
  readonly attempts: string[] = [];
  /** Streams that were cancelled by closing the connection. */
  cancelledCount = 0;
  /** Makes all work slower by this factor. */
  slowFactor = 1;
  /** Cuts the next streams after that many tokens; undefined for never. */
  cutAfterTokens: number | undefined;
  /** Holds orders back for this long before they arrive, in milliseconds. */
  orderDelayMs = 0;
  /** Loses the next orders without an answer; a count. */
  lostOrderCount = 0;
  readonly bootId: string;
  readonly #options: Required<Omit<EngineOptions, 'weightStoreUrl' | 'residents'>> & EngineOptions;
  readonly #settledOrders: string[] = [];
  readonly #prefixes: string[] = [];
  readonly #gate: PriorityGate;
  /** Changes of the prefix cache; every tenth is lost, as real ones are. */
  readonly #cacheEvents: { readonly sequence: number; readonly prefix: string }[] = [];
  #cacheSequence = 0;
  #running = 0;
  #reports: EngineReport[] = [];

  /** @param options - sizes and speeds */
  constructor(options: EngineOptions = {}) {
    super();
    this.#options = {
      memoryBytes: 80e9,
      checksFencing: true,
      tokenMs: 2,
      prefillMs: 5,
      batchSize: 16,
      streamCountMax: 1e6,
      reportLagMs: 0,
      loadMs: 20,
      ...options,
    };
    bootCount += 1;
    this.bootId = `boot-${process.pid}-${bootCount}`;
    this.#gate = new PriorityGate(this.#options.streamCountMax);
    this.memory = new EngineMemory(this.#options.memoryBytes, this.#options.checksFencing);
    Object.entries(options.residents ?? {}).forEach(([item, bytes]) => {
      this.memory.apply({ id: 'start', fence: 0, action: 'load', item, bytes });
    });
    this.#addRoutes();
  }

  /** Requests that run; a count. */
  get runningCount(): number {
    return this.#running;
  }

  #addRoutes(): void {
    const complete =
      (isChat: boolean) =>
      async ({ request, response }: { request: IncomingMessage; response: ServerResponse }) => {
        const body = await HttpStandIn.readJson<CompletionBody>(request);
        await this.#complete(request, response, body, isChat);
      };
    this.route('POST', '/v1/chat/completions', complete(true));
    this.route('POST', '/v1/completions', complete(false));
    this.route('GET', '/cache-events', ({ response, query }) => {
      const from = Number(query.from ?? 0);
      const events = this.#cacheEvents.filter(({ sequence }) => sequence >= from);
      HttpStandIn.reply(response, 200, { events });
    });
    this.route('GET', '/report', ({ response }) => {
      HttpStandIn.reply(response, 200, this.#laggedReport());
    });
    this.route('POST', '/orders', async ({ request, response }) => {
      const order = await HttpStandIn.readJson<Order>(request);
      await this.#takeOrder(response, order);
    });
  }

  #laggedReport(): EngineReport {
    const nowMs = Date.now();
    this.#reports.push({
      atMs: nowMs,
      bootId: this.bootId,
      running: this.#running,
      residents: Object.fromEntries(this.memory.residents),
      usedBytes: this.memory.usedBytes,
      fence: this.memory.fence,
      settledOrders: [...this.#settledOrders],
    });
    const limitMs = nowMs - this.#options.reportLagMs;
    const old = this.#reports.filter(({ atMs }) => atMs <= limitMs);
    const report = old.at(-1) ?? this.#reports[0];
    this.#reports = this.#reports.filter(({ atMs }) => atMs >= report.atMs);
    return report;
  }

  async #takeOrder(response: ServerResponse, order: Order): Promise<void> {
    if (this.lostOrderCount > 0) {
      this.lostOrderCount -= 1;
      response.destroy();
      return;
    }
    await sleep(this.orderDelayMs);
    if (this.memory.isFenced(order.fence)) {
      this.#settledOrders.push(order.id);
      HttpStandIn.reply(response, 409, { status: 'refused', reason: 'old fencing number' });
      return;
    }
    if (order.action === 'load' && !this.memory.residents.has(order.item)) {
      // The bytes are taken when the load begins, as an allocation is.
      this.memory.apply(order);
      this.memory.residents.delete(order.item);
      const loading = `loading:${order.item}`;
      this.memory.apply({ ...order, item: loading });
      await this.#fetchWeights(order.item);
      this.memory.residents.delete(loading);
    }
    const result = this.memory.apply(order);
    this.#settledOrders.push(order.id);
    HttpStandIn.reply(response, 200, result);
  }

  async #fetchWeights(item: string): Promise<void> {
    const { weightStoreUrl, loadMs } = this.#options;
    if (!weightStoreUrl) {
      await sleep(loadMs);
      return;
    }
    const answer = await fetch(`${weightStoreUrl}/weights/${encodeURIComponent(item)}`);
    await answer.arrayBuffer();
    if (answer.ok) return;
    await sleep(loadMs);
    await this.#fetchWeights(item);
  }

  #isServing(model: string): boolean {
    const [base, adapter] = model.split(':');
    const hasBase = [...this.memory.residents.keys()].some((item) =>
      item.startsWith(`model/${base}@`),
    );
    return hasBase && (adapter === undefined || this.memory.residents.has(`adapter/${adapter}`));
  }

  async #complete(
    request: IncomingMessage,
    response: ServerResponse,
    body: CompletionBody,
    isChat: boolean,
  ): Promise<void> {
    if (!this.#isServing(body.model)) {
      HttpStandIn.reply(response, 404, { error: 'not resident' }, { 'x-not-run': 'true' });
      return;
    }
    const attempt = String(request.headers['x-chervilseam-attempt'] ?? '');
    this.attempts.push(attempt);
    const prompt = JSON.stringify(body.messages ?? body.prompt ?? '');
    const tokens = engineAnswer(body.model, prompt, body.max_tokens ?? DEFAULT_TOKEN_COUNT);
    const priority = Number(request.headers['x-chervilseam-priority'] ?? 0);
    await this.#gate.enter(priority);
    this.#running += 1;
    let isClosed = false;
    response.on('close', () => {
      isClosed = true;
    });
    const prefillMs = this.#prefillMs(prompt);
    if (prefillMs > 0) await sleep(prefillMs);
    const head = { 'x-chervilseam-attempt': attempt };
    if (body.stream) {
      response.writeHead(200, { 'content-type': 'text/event-stream', ...head });
    }
    const format = new CompletionFormat(body.model, isChat);
    const first = body.resume_after_tokens ?? 0;
    for (let index = first; index < tokens.length && !isClosed; index += 1) {
      if (this.cutAfterTokens !== undefined && index >= this.cutAfterTokens) {
        this.#leave();
        response.destroy();
        return;
      }
      // Tokens of one stream come one after another.
      // eslint-disable-next-line no-await-in-loop
      if (this.#options.tokenMs > 0) await sleep(this.#tokenMs());
      if (body.stream) response.write(format.chunk(tokens[index]));
    }
    this.#leave();
    if (isClosed) {
      this.cancelledCount += 1;
      return;
    }
    if (body.stream) response.end(format.lastChunks());
    else HttpStandIn.reply(response, 200, format.whole(tokens.slice(first).join('')), head);
  }

  #leave(): void {
    this.#running -= 1;
    this.#gate.leave();
  }

  #noteCached(prompt: string): void {
    this.#cacheSequence += 1;
    if (this.#cacheSequence % LOST_EVENT_EVERY === 0) return;
    this.#cacheEvents.push({ sequence: this.#cacheSequence, prefix: prompt.slice(0, 64) });
    if (this.#cacheEvents.length > CACHE_EVENT_COUNT_MAX) this.#cacheEvents.shift();
  }

  #tokenMs(): number {
    const crowding = Math.max(1, this.#running / this.#options.batchSize);
    return this.#options.tokenMs * crowding * this.slowFactor;
  }

  #prefillMs(prompt: string): number {
    const isCached = this.#prefixes.includes(prompt);
    if (!isCached) {
      this.#prefixes.push(prompt);
      this.#noteCached(prompt);
    }
    if (this.#prefixes.length > CACHED_PREFIX_COUNT_MAX) this.#prefixes.shift();
    return this.#options.prefillMs * this.slowFactor * (isCached ? 0.1 : 1);
  }
}
