import type { DomainLedger } from '@chervilseam/decisions';
import type { EndpointDriver } from '@chervilseam/endpoints';

type OrderRecord = ReturnType<DomainLedger['engine']>['liveOrders'][number];

/** Dependencies of the order runner. */
interface OrderRunnerContext {
  readonly ledger: DomainLedger;
  readonly driver: EndpointDriver;
  /** Id of this run of the instance. */
  readonly bootId: string;
  /** @returns the URL of an engine, or `undefined` when the configuration does not contain it */
  readonly urlOf: (endpoint: string) => string | undefined;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** Maximum time from sending an order to its arrival at the engine, in milliseconds. */
  readonly longestDelayMs: number;
  /**
   * @returns whether the last call to the log succeeded and the log names this run of the instance
   *   as the owner of the engine
   */
  readonly isOwner: (endpoint: string) => boolean;
  /** Appends an entry to the log stream of the failure domain. */
  readonly submit: (entry: Readonly<Record<string, unknown>>) => void;
  /** Receives the engine's answer to an order, or a text that starts with `no answer`. */
  readonly onResult: (result: string, endpoint: string, order: OrderRecord) => void;
}

/**
 * Sends the orders that this run of the instance has reserved on the log, each one once, to their
 * engines.
 */
export class OrderRunner {
  readonly #context: OrderRunnerContext;
  /** When each order was sent, in milliseconds, by its id. */
  readonly #sentMs = new Map<string, number>();
  /** Ids of orders for which a `quiet` entry was submitted: no copy of them can arrive any more. */
  readonly #quietIds = new Set<string>();

  /** @param context - dependencies of the order runner */
  constructor(context: OrderRunnerContext) {
    this.#context = context;
  }

  /**
   * Sends the reserved orders that were not sent yet, and records on the log which orders can no
   * longer arrive at their engine.
   */
  tick(): void {
    this.#context.ledger.engines.forEach((engine, endpoint) => {
      engine.inFlightOrders
        .filter(({ issuer }) => issuer === this.#context.bootId)
        .forEach((order) => this.#advance(endpoint, order));
    });
  }

  #advance(endpoint: string, order: OrderRecord): void {
    const sentMs = this.#sentMs.get(order.id);
    if (sentMs === undefined) {
      this.#sendOrWithdraw(endpoint, order);
      return;
    }
    const hasDelayPassed = this.#context.nowMs() - sentMs > this.#context.longestDelayMs;
    if (hasDelayPassed) this.#submitQuiet(endpoint, order, 'time');
  }

  // Ownership is checked again right before an order is sent. An instance that was replaced as
  // owner, for example while it was suspended, withdraws the order instead.
  #sendOrWithdraw(endpoint: string, order: OrderRecord): void {
    if (this.#quietIds.has(order.id)) return;
    const url = this.#context.urlOf(endpoint);
    if (!url || !this.#context.isOwner(endpoint)) {
      this.#submitQuiet(endpoint, order, 'neverSent');
      return;
    }
    this.#sentMs.set(order.id, this.#context.nowMs());
    void this.#send(endpoint, url, order);
  }

  async #send(endpoint: string, url: string, order: OrderRecord): Promise<void> {
    const { driver, submit, onResult } = this.#context;
    const { id, number, action, item, bytes } = order;
    try {
      const answer = await driver.sendOrder(url, { id, fence: number, action, item, bytes });
      submit({ type: 'settle', endpoint, order: id, result: answer.status });
      onResult(answer.status, endpoint, order);
    } catch (error) {
      // The order may be lost or may still arrive: its memory stays reserved until its maximum
      // delay has passed.
      onResult(`no answer: ${(error as Error).message}`, endpoint, order);
    }
  }

  // Records that no copy of the order can arrive any more.
  #submitQuiet(endpoint: string, order: OrderRecord, reason: 'time' | 'neverSent'): void {
    if (this.#quietIds.has(order.id)) return;
    this.#quietIds.add(order.id);
    const { fence } = this.#context.ledger.engine(endpoint).state;
    const { bootId } = this.#context;
    this.#context.submit({
      type: 'quiet',
      endpoint,
      order: order.id,
      fence,
      incarnation: bootId,
      reason,
    });
  }
}
