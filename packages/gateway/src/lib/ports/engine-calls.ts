import type { EngineOrder, EngineStateReport, OrderOutcome } from '@chervilseam/decisions';
import type { EndpointRecord } from '@chervilseam/model';
import type { OrderGrounds } from './order-grounds.js';

/** Control calls to an engine. */
export interface EngineCalls {
  /** @returns what became of the order; never throws */
  order(endpoint: EndpointRecord, order: EngineOrder, grounds: OrderGrounds): Promise<OrderOutcome>;
  /**
   * @returns the engine's report
   * @throws when there is no answer, or one that makes no sense
   */
  report(endpoint: EndpointRecord): Promise<EngineStateReport>;
}
