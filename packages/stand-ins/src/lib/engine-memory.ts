/** An order to an engine. */
interface EngineOrder {
  readonly id: string;
  readonly fence: number;
  readonly action: 'load' | 'unload' | 'fence';
  /** What is loaded or unloaded: `model/NAME@VERSION` or `adapter/NAME`. */
  readonly item: string;
  readonly bytes: number;
}

/** What an engine answers to an order. */
interface EngineOrderResult {
  readonly status: 'done' | 'refused';
  readonly reason: string;
}

/** The accelerator memory of a stand-in engine; it takes every order that it does not refuse. */
export class EngineMemory {
  readonly residents = new Map<string, number>();
  /** The most bytes ever held at once. */
  peakBytes = 0;
  /** Times that an order would have gone past the capacity. */
  overcommitCount = 0;
  readonly #capacityBytes: number;
  readonly #checksFencing: boolean;
  #fence = 0;

  /**
   * @param capacityBytes - the accelerator's memory
   * @param checksFencing - whether orders with an old fencing number are refused
   */
  constructor(capacityBytes: number, checksFencing: boolean) {
    this.#capacityBytes = capacityBytes;
    this.#checksFencing = checksFencing;
  }

  /** Bytes held by weights and adapters. */
  get usedBytes(): number {
    return [...this.residents.values()].reduce((sum, bytes) => sum + bytes, 0);
  }

  /** The highest fencing number seen. */
  get fence(): number {
    return this.#fence;
  }

  /**
   * Tells whether an order is refused for its fencing number.
   *
   * @param fence - the order's number
   * @returns whether a higher one was seen by an engine that checks
   */
  isFenced(fence: number): boolean {
    if (this.#checksFencing && fence < this.#fence) return true;
    this.#fence = Math.max(this.#fence, fence);
    return false;
  }

  /**
   * Carries out an order.
   *
   * @param order - the order
   * @returns what became of it
   */
  apply(order: EngineOrder): EngineOrderResult {
    if (order.action === 'unload') this.residents.delete(order.item);
    if (order.action === 'load') this.residents.set(order.item, order.bytes);
    this.peakBytes = Math.max(this.peakBytes, this.usedBytes);
    if (this.usedBytes > this.#capacityBytes) this.overcommitCount += 1;
    return { status: 'done', reason: '' };
  }
}
