import type { EndpointExchange } from './endpoint-exchange.js';
import type { EndpointListener } from './endpoint-listener.js';
import type { EndpointRequest } from './endpoint-request.js';
import type { EngineReport } from './engine-report.js';
import type { EngineOrder } from './engine-order.js';

/** An engine's answer to an order. */
interface OrderAnswer {
  readonly status: 'done' | 'refused';
  /** Why the order was refused; empty if it was carried out. */
  readonly reason: string;
}

/** Client of the endpoints of one kind. */
export interface EndpointDriver {
  /**
   * Sends a request.
   *
   * @param request - the request to send
   * @param listener - receives the answer
   * @returns the exchange in progress
   */
  send(request: EndpointRequest, listener: EndpointListener): EndpointExchange;

  /**
   * Reads the latest report of an endpoint.
   *
   * @param origin - scheme, host and port of the endpoint
   * @returns the report, or `undefined` if endpoints of this kind have none
   * @throws any error while the endpoint cannot be reached
   */
  readReport(origin: string): Promise<EngineReport | undefined>;

  /**
   * Sends an order to an engine.
   *
   * @param origin - scheme, host and port of the engine
   * @param order - the order with its fencing token
   * @returns the engine's answer
   * @throws any error; the engine may still receive and carry out the order then
   */
  sendOrder(origin: string, order: EngineOrder): Promise<OrderAnswer>;

  /** Closes all connections; exchanges in progress fail. */
  close(): Promise<void>;
}
