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

/** An engine that takes whatever reaches it, late and twice, and remembers all its old reports. */
export class WorstEngine {
  readonly reports: Report[] = [];
  readonly inFlight: Order[] = [];
  peakBytes = 0;
  readonly #checksFencing: boolean;
  #boot = 1;
  #fence = 0;
  #residents: Record<string, number> = {};
  #settled: string[] = [];

  constructor(checksFencing: boolean, residents: Readonly<Record<string, number>>) {
    this.#checksFencing = checksFencing;
    this.#residents = { ...residents };
    this.#note();
  }

  get heldBytes(): number {
    return Object.values(this.#residents).reduce((sum, bytes) => sum + bytes, 0);
  }

  /** An order is on its way; it may arrive at any time, and again. */
  send(order: Order): void {
    this.inFlight.push(order);
  }

  /** Delivers a copy; it stays in flight if it is to come again. */
  deliver(index: number, comesAgain: boolean): Order | undefined {
    if (this.inFlight.length === 0) return undefined;
    const at = index % this.inFlight.length;
    const order = this.inFlight[at];
    if (!comesAgain) this.inFlight.splice(at, 1);
    this.#take(order);
    return order;
  }

  /** Copies of an order that are still under way are lost: its longest delay has passed. */
  expire(id: string): void {
    for (let at = this.inFlight.length - 1; at >= 0; at -= 1) {
      if (this.inFlight[at].id === id) this.inFlight.splice(at, 1);
    }
  }

  restart(): void {
    this.#boot += 1;
    this.#fence = 0;
    this.#residents = {};
    this.#settled = [];
    this.#note();
  }

  #take(order: Order): void {
    const isRefused = this.#checksFencing && order.number < this.#fence;
    if (!isRefused) {
      this.#fence = Math.max(this.#fence, order.number);
      if (order.action === 'load') this.#residents[order.item] = order.bytes;
      if (order.action === 'unload') delete this.#residents[order.item];
    }
    this.#settled.push(order.id);
    this.#note();
  }

  #note(): void {
    this.peakBytes = Math.max(this.peakBytes, this.heldBytes);
    this.reports.push({
      bootId: `boot-${this.#boot}`,
      residents: { ...this.#residents },
      settledOrders: [...this.#settled],
    });
  }
}
