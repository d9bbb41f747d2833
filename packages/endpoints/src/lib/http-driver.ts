import { readBody } from '@chervilseam/model';
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import verror from 'verror';
import type { EndpointDriver } from './endpoint-driver.js';
import { EndpointExchange } from './endpoint-exchange.js';
import type { EndpointListener } from './endpoint-listener.js';
import type { EndpointRequest } from './endpoint-request.js';
import type { EngineOrder } from './engine-order.js';
import type { EngineReport } from './engine-report.js';

/** Longest time until a connection is open, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Longest time of a read of a report, in milliseconds. */
const REPORT_TIMEOUT_MS = 2_000;
/**
 * Longest wait for the answer to an order, in milliseconds: an engine answers only after it has loaded
 * the weights.
 */
const ORDER_TIMEOUT_MS = 120_000;
/** Time after which an idle connection is closed, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/** Largest report, or answer to an order, that is read, in bytes. */
const ANSWER_BYTES_MAX = 1024 * 1024;
/** Options of every HTTP client. */
const agentOptions: Agent.Options = {
  connect: { timeout: CONNECT_TIMEOUT_MS },
  keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  pipelining: 1,
};

/** Client of endpoints over plain HTTP. Engines also accept orders and report their state. */
export class HttpDriver implements EndpointDriver {
  readonly #agent = new Agent(agentOptions);

  /** For reports and orders, whose answers are read whole. */
  readonly #controlAgent = new Agent({ ...agentOptions, maxResponseSize: ANSWER_BYTES_MAX });

  readonly #isEngine: boolean;

  /** @param isEngine - whether the endpoints are engines */
  constructor(isEngine: boolean) {
    this.#isEngine = isEngine;
  }

  send(request: EndpointRequest, listener: EndpointListener): EndpointExchange {
    return new EndpointExchange(this.#agent, request, listener);
  }

  async readReport(origin: string): Promise<EngineReport | undefined> {
    if (!this.#isEngine) return undefined;
    const signal = AbortSignal.timeout(REPORT_TIMEOUT_MS);
    const answer = await this.#controlAgent.request({
      origin,
      method: 'GET',
      path: '/report',
      signal,
    });
    return HttpDriver.#readJson<EngineReport>(answer);
  }

  async sendOrder(origin: string, order: EngineOrder): ReturnType<EndpointDriver['sendOrder']> {
    if (!this.#isEngine) throw new verror.VError('plain services accept no orders');
    const answer = await this.#controlAgent.request({
      origin,
      method: 'POST',
      path: '/orders',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(order),
      signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
    });
    return HttpDriver.#readJson<Awaited<ReturnType<EndpointDriver['sendOrder']>>>(answer);
  }

  static async #readJson<T>({ body }: Dispatcher.ResponseData): Promise<T> {
    const bytes = await readBody(body, { bytesMax: ANSWER_BYTES_MAX });
    return JSON.parse(bytes.toString()) as T;
  }

  async close(): Promise<void> {
    await Promise.all([this.#agent.destroy(), this.#controlAgent.destroy()]);
  }
}
