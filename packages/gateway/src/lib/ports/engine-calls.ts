import type { EngineOrder, EngineStateReport, OrderOutcome } from '@chervilseam/decisions';
import type { EndpointRecord } from '@chervilseam/model';

/** What an order rests on. */
export interface OrderGrounds {
  /** Name of the instance that gives the order. */
  readonly owner: string;
  /** Fencing token of its lease. */
  readonly token: number;
  /** Orders that the engine has taken so far; it refuses when that is another number. */
  readonly orderCount: number;
}

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
