import type { EngineOrder, EngineStateReport, OrderOutcome } from '@chervilseam/decisions';
import type { EndpointRecord } from '@chervilseam/model';
import type { OrderPreconditions } from './order-preconditions.js';

/** Control calls to an engine. */
export interface EngineCalls {
  /** Time after which an order without an answer is given up and cannot arrive any more, in milliseconds. */
  readonly orderTimeoutMs: number;
  /**
   * Sends an order to an engine.
   *
   * @returns the outcome of the order, also when the call fails; never throws
   */
  order(
    endpoint: EndpointRecord,
    order: EngineOrder,
    preconditions: OrderPreconditions,
  ): Promise<OrderOutcome>;
  /**
   * Reads the state of an engine.
   *
   * @returns the state that the engine reported
   * @throws when the engine does not answer or the answer cannot be decoded
   */
  report(endpoint: EndpointRecord): Promise<EngineStateReport>;
}
