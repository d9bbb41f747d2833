import type { EndpointExchange } from './endpoint-exchange.js';
import type { EndpointListener } from './endpoint-listener.js';
import type { EndpointRequest } from './endpoint-request.js';
import type { EngineReport } from './engine-report.js';
import type { EngineOrder } from './engine-order.js';

/** What an engine answered to an order. */
interface OrderAnswer {
  readonly status: 'done' | 'refused';
  readonly reason: string;
}

/** Speaks to endpoints of one kind. */
export interface EndpointDriver {
  /**
   * Sends a request.
   *
   * @param request - the request
   * @param listener - hears the answer
   * @returns the running exchange
   */
  send(request: EndpointRequest, listener: EndpointListener): EndpointExchange;

  /**
   * Reads the endpoint's own report.
   *
   * @param origin - where the endpoint listens
   * @returns the report, or `undefined` for kinds that give none
   * @throws any error while the endpoint cannot be reached
   */
  report(origin: string): Promise<EngineReport | undefined>;

  /**
   * Gives an order.
   *
   * @param origin - where the endpoint listens
   * @param order - the order with its fencing number
   * @returns the engine's word
   * @throws any error; the order may still arrive then
   */
  order(origin: string, order: EngineOrder): Promise<OrderAnswer>;

  /** Closes idle connections. */
  close(): Promise<void>;
}
