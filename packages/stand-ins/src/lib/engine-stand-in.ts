import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { CompletionFormat } from './completion-format.js';
import { engineAnswer } from './engine-answer.js';
import { EngineMemory } from './engine-memory.js';
import { HttpStandIn } from './http-stand-in.js';
import { PriorityGate } from './priority-gate.js';

/** Maximum number of prompts in the prefix cache; the oldest is evicted first. */
const CACHED_PREFIX_COUNT_MAX = 64;
/** Length of an answer to a request without `max_tokens`. */
const DEFAULT_TOKEN_COUNT = 16;
/** Maximum number of cache events that are kept; the oldest are dropped. */
const CACHE_EVENT_COUNT_MAX = 1_000;
/** One of this many cache events is lost, as happens with real engines. */
const LOST_EVENT_INTERVAL = 10;

interface EngineOptions {
  /** Size of the accelerator memory. */
  readonly memoryBytes?: number;
  /** Whether orders with an outdated fencing token are refused. */
  readonly checksFencing?: boolean;
  /** Sizes in bytes of the items resident at the start, by `model/NAME@VERSION` or `adapter/NAME`. */
  readonly residents?: Readonly<Record<string, number>>;
  /** Time between two tokens of an answer at full speed, in milliseconds. */
  readonly tokenMs?: number;
  /** Time to prefill a prompt, in milliseconds; a tenth of it when the prompt is cached. */
  readonly prefillMs?: number;
  /** Number of requests that run at full speed at the same time; more slow down all of them. */
  readonly batchSize?: number;
  /** Number of requests that run at the same time; more wait, the highest priority first. */
  readonly streamCountMax?: number;
  /**
   * Minimum age of the state in the answer to `GET /report`, in milliseconds; less until a state of
   * this age has been recorded.
   */
  readonly reportLagMs?: number;
  /**
   * Time to load an item without a weight store, and time until a refused fetch from the weight store
   * is repeated, in milliseconds.
   */
  readonly loadMs?: number;
  /** Weight store to fetch from; without one, loads only take `loadMs`. */
  readonly weightStoreUrl?: string;
}

interface CompletionBody {
  readonly model: string;
  readonly messages?: readonly { readonly content: unknown }[];
  readonly prompt?: unknown;
  readonly max_tokens?: number;
  readonly stream?: boolean;
  /** Number of tokens received from an earlier, broken attempt; the answer continues after them. */
  readonly resume_after_tokens?: number;
}

interface EngineReport {
  /** Wall-clock time of the report, in milliseconds. */
  readonly atMs: number;
  /** Identifies one run of the engine. */
  readonly bootId: string;
  /** Number of requests that run. */
  readonly running: number;
  readonly residents: Readonly<Record<string, number>>;
  readonly usedBytes: number;
  /** Highest fencing token received. */
  readonly fence: number;
  /** Ids of all orders carried out or refused in this run, newest last. */
  readonly settledOrders: readonly string[];
}

type Order = Parameters<EngineMemory['apply']>[0];

let bootCount = 0;

/**
 * Stands in for a model engine: runs requests in a batch, streams answers, caches prompts, reports its
 * state with a delay and takes orders to load and unload.
 */
export class EngineStandIn extends HttpStandIn {
  readonly memory: EngineMemory;
  /** Attempt ids of all requests for resident models, in order of arrival. */
  readonly attempts: string[] = [];
  /** Number of requests whose connection the client closed before the end. */
  cancelledCount = 0;
  /** Factor on the times of prefill and tokens. */
  slowFactor = 1;
  /**
   * The connection of every request is cut before the token with this index; `undefined` for never.
   * The index counts from the start of the answer, in a resumed answer too.
   */
  cutAfterTokens: number | undefined;
  /** Delay from the arrival of an order to its effect, in milliseconds. */
  orderDelayMs = 0;
  /** Number of next orders that are dropped without effect and without an answer. */
  lostOrderCount = 0;
  /** Identifies this run of the engine; a new stand-in at the same address has another. */
  readonly bootId: string;
  readonly #options: Required<Omit<EngineOptions, 'weightStoreUrl' | 'residents'>> & EngineOptions;
  readonly #settledOrders: string[] = [];
  /** Prompts in the prefix cache, oldest first. */
  readonly #prefixes: string[] = [];
  readonly #gate: PriorityGate;
  /** Prompts added to the prefix cache; a gap in the sequence numbers shows a lost event. */
  readonly #cacheEvents: { readonly sequence: number; readonly prefix: string }[] = [];
  #cacheSequence = 0;
  #running = 0;
  /** Reports that are not older than the one answered last, oldest first. */
  #reports: EngineReport[] = [];

  /** @param options - sizes, speeds and items resident at the start */
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

  /** Number of requests that run. */
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
      await this.#answerOrder(response, order);
    });
  }

  /**
   * Records the current state and returns the newest one that is at least `reportLagMs` old, or the
   * oldest one if none is.
   */
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
    const visible = this.#reports.filter(({ atMs }) => atMs <= limitMs);
    const report = visible.at(-1) ?? this.#reports[0];
    this.#reports = this.#reports.filter(({ atMs }) => atMs >= report.atMs);
    return report;
  }

  async #answerOrder(response: ServerResponse, order: Order): Promise<void> {
    if (this.lostOrderCount > 0) {
      this.lostOrderCount -= 1;
      response.destroy();
      return;
    }
    await sleep(this.orderDelayMs);
    if (this.memory.rejectsToken(order.fence)) {
      this.#settledOrders.push(order.id);
      HttpStandIn.reply(response, 409, { status: 'refused', reason: 'old fencing number' });
      return;
    }
    if (order.action === 'load' && !this.memory.residents.has(order.item)) {
      // As in a real engine, the memory is allocated when the load begins: until the weights have been
      // fetched, it is held under a name that serves no requests.
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
    // The weight store limits the rate of loads; try again.
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
        this.#finishRequest();
        response.destroy();
        return;
      }
      // Tokens are generated in order.
      // eslint-disable-next-line no-await-in-loop
      if (this.#options.tokenMs > 0) await sleep(this.#tokenMs());
      if (body.stream) response.write(format.chunk(tokens[index]));
    }
    this.#finishRequest();
    if (isClosed) {
      this.cancelledCount += 1;
      return;
    }
    if (body.stream) response.end(format.lastChunks());
    else HttpStandIn.reply(response, 200, format.whole(tokens.slice(first).join('')), head);
  }

  #finishRequest(): void {
    this.#running -= 1;
    this.#gate.leave();
  }

  #recordCacheEvent(prompt: string): void {
    this.#cacheSequence += 1;
    if (this.#cacheSequence % LOST_EVENT_INTERVAL === 0) return;
    this.#cacheEvents.push({ sequence: this.#cacheSequence, prefix: prompt.slice(0, 64) });
    if (this.#cacheEvents.length > CACHE_EVENT_COUNT_MAX) this.#cacheEvents.shift();
  }

  /** Time to the next token under the current load, in milliseconds. */
  #tokenMs(): number {
    const slowdown = Math.max(1, this.#running / this.#options.batchSize);
    return this.#options.tokenMs * slowdown * this.slowFactor;
  }

  /** Time to prefill the prompt, in milliseconds; adds the prompt to the cache. */
  #prefillMs(prompt: string): number {
    const isCached = this.#prefixes.includes(prompt);
    if (!isCached) {
      this.#prefixes.push(prompt);
      this.#recordCacheEvent(prompt);
    }
    if (this.#prefixes.length > CACHED_PREFIX_COUNT_MAX) this.#prefixes.shift();
    return this.#options.prefillMs * this.slowFactor * (isCached ? 0.1 : 1);
  }
}
