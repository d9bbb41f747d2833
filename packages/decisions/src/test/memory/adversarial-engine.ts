interface Order {
  readonly id: string;
  readonly number: number;
  readonly action: 'load' | 'unload' | 'fence';
  readonly item: string;
  readonly bytes: number;
}

interface Report {
  readonly bootId: string;
  readonly residents: Readonly<Record<string, number>>;
  readonly settledOrders: readonly string[];
}

/**
 * An engine that receives orders late, repeatedly and in any order, and keeps all its past reports.
 */
export class AdversarialEngine {
  readonly reports: Report[] = [];
  readonly inFlight: Order[] = [];
  peakBytes = 0;
  readonly #checksFencing: boolean;
  #bootCount = 1;
  #fence = 0;
  #residents: Record<string, number> = {};
  #settled: string[] = [];

  constructor(checksFencing: boolean, residents: Readonly<Record<string, number>>) {
    this.#checksFencing = checksFencing;
    this.#residents = { ...residents };
    this.#recordReport();
  }

  get heldBytes(): number {
    return Object.values(this.#residents).reduce((sum, bytes) => sum + bytes, 0);
  }

  /** Puts an order in flight: it may be delivered at any time, and repeatedly. */
  send(order: Order): void {
    this.inFlight.push(order);
  }

  /** Delivers a copy of an order, which may stay in flight to be delivered again. */
  deliver(index: number, staysInFlight: boolean): Order | undefined {
    if (this.inFlight.length === 0) return undefined;
    const at = index % this.inFlight.length;
    const order = this.inFlight[at];
    if (!staysInFlight) this.inFlight.splice(at, 1);
    this.#receive(order);
    return order;
  }

  /** Drops all copies of an order that are in flight: its longest delivery delay has passed. */
  expire(id: string): void {
    for (let at = this.inFlight.length - 1; at >= 0; at -= 1) {
      if (this.inFlight[at].id === id) this.inFlight.splice(at, 1);
    }
  }

  restart(): void {
    this.#bootCount += 1;
    this.#fence = 0;
    this.#residents = {};
    this.#settled = [];
    this.#recordReport();
  }

  #receive(order: Order): void {
    const isRefused = this.#checksFencing && order.number < this.#fence;
    if (!isRefused) {
      this.#fence = Math.max(this.#fence, order.number);
      if (order.action === 'load') this.#residents[order.item] = order.bytes;
      if (order.action === 'unload') delete this.#residents[order.item];
    }
    this.#settled.push(order.id);
    this.#recordReport();
  }

  #recordReport(): void {
    this.peakBytes = Math.max(this.peakBytes, this.heldBytes);
    this.reports.push({
      bootId: `boot-${this.#bootCount}`,
      residents: { ...this.#residents },
      settledOrders: [...this.#settled],
    });
  }
}
