import type { DomainLedger } from '@chervilseam/decisions';
import type { EndpointDriver } from '@chervilseam/endpoints';

type OrderRecord = ReturnType<DomainLedger['engine']>['liveOrders'][number];

interface OrderRunnerContext {
  readonly ledger: DomainLedger;
  readonly driver: EndpointDriver;
  readonly life: string;
  readonly urlOf: (endpoint: string) => string | undefined;
  readonly nowMs: () => number;
  /** Longest time that an order may be under way, in milliseconds. */
  readonly longestDelayMs: number;
  /** @returns whether this instance owns the engine by the latest that the log is known to say */
  readonly isOwner: (endpoint: string) => boolean;
  readonly submit: (entry: Readonly<Record<string, unknown>>) => void;
  readonly onResult: (result: string, endpoint: string, order: OrderRecord) => void;
}

/** Sends the orders that this life of the instance has reserved, each once. */
export class OrderRunner {
  readonly #context: OrderRunnerContext;
  readonly #sentMs = new Map<string, number>();
  readonly #quieted = new Set<string>();

  /** @param context - ledger, driver and clock */
  constructor(context: OrderRunnerContext) {
    this.#context = context;
  }

  /** Sends what is reserved and not sent, and says which orders can arrive no more. */
  tick(): void {
    this.#context.ledger.engines.forEach((engine, endpoint) => {
      engine.inFlightOrders
        .filter(({ issuer }) => issuer === this.#context.life)
        .forEach((order) => this.#advance(endpoint, order));
    });
  }

  #advance(endpoint: string, order: OrderRecord): void {
    const sentMs = this.#sentMs.get(order.id);
    if (sentMs === undefined) {
      this.#sendOrWithdraw(endpoint, order);
      return;
    }
    const isPast = this.#context.nowMs() - sentMs > this.#context.longestDelayMs;
    if (isPast) this.#quiet(endpoint, order, 'time');
  }

  // The last look before the act: an owner that was paused, or that the log has replaced, withdraws
  // its order in place of sending it.
  #sendOrWithdraw(endpoint: string, order: OrderRecord): void {
    if (this.#quieted.has(order.id)) return;
    const url = this.#context.urlOf(endpoint);
    if (!url || !this.#context.isOwner(endpoint)) {
      this.#quiet(endpoint, order, 'neverSent');
      return;
    }
    this.#sentMs.set(order.id, this.#context.nowMs());
    void this.#send(endpoint, url, order);
  }

  async #send(endpoint: string, url: string, order: OrderRecord): Promise<void> {
    const { driver, submit, onResult } = this.#context;
    const { id, number, action, item, bytes } = order;
    try {
      const answer = await driver.order(url, { id, fence: number, action, item, bytes });
      submit({ type: 'settle', endpoint, order: id, result: answer.status });
      onResult(answer.status, endpoint, order);
    } catch (error) {
      // The order may be lost or late; its memory stays counted until its longest delay has passed.
      onResult(`no answer: ${(error as Error).message}`, endpoint, order);
    }
  }

  #quiet(endpoint: string, order: OrderRecord, reason: 'time' | 'neverSent'): void {
    if (this.#quieted.has(order.id)) return;
    this.#quieted.add(order.id);
    const { fence } = this.#context.ledger.engine(endpoint).state;
    const { life } = this.#context;
    this.#context.submit({
      type: 'quiet',
      endpoint,
      order: order.id,
      fence,
      incarnation: life,
      reason,
    });
  }
}
