/** An order to an engine, in the format of its HTTP interface. */
interface EngineOrder {
  readonly id: string;
  /** Fencing token of the owner that gave the order. */
  readonly fence: number;
  /** `fence` changes nothing but the highest fencing token. */
  readonly action: 'load' | 'unload' | 'fence';
  /** Item to load or unload: `model/NAME@VERSION` or `adapter/NAME`. */
  readonly item: string;
  /** Size of the item. */
  readonly bytes: number;
}

/** An engine's answer to an order. */
interface EngineOrderResult {
  readonly status: 'done' | 'refused';
  readonly reason: string;
}

/**
 * The accelerator memory of an engine stand-in. It carries out loads beyond its capacity too and counts
 * them, so that a test can check that none was ordered.
 */
export class EngineMemory {
  /** Sizes in bytes by resident item. */
  readonly residents = new Map<string, number>();
  /** Highest number of bytes held at the same time. */
  peakBytes = 0;
  /** Number of orders after which more bytes were held than the capacity. */
  overcommitCount = 0;
  readonly #capacityBytes: number;
  readonly #checksFencing: boolean;
  #fence = 0;

  /**
   * @param capacityBytes - size of the memory
   * @param checksFencing - whether orders with an outdated fencing token are refused
   */
  constructor(capacityBytes: number, checksFencing: boolean) {
    this.#capacityBytes = capacityBytes;
    this.#checksFencing = checksFencing;
  }

  /** Bytes held by weights and adapters. */
  get usedBytes(): number {
    return [...this.residents.values()].reduce((sum, bytes) => sum + bytes, 0);
  }

  /** Highest fencing token received. */
  get fence(): number {
    return this.#fence;
  }

  /**
   * Checks the fencing token of an order, and records it unless the order must be refused.
   *
   * @param fence - the order's fencing token
   * @returns whether fencing tokens are checked and a higher one has been received
   */
  rejectsToken(fence: number): boolean {
    if (this.#checksFencing && fence < this.#fence) return true;
    this.#fence = Math.max(this.#fence, fence);
    return false;
  }

  /**
   * Carries out an order without checking its fencing token.
   *
   * @param order - the order
   * @returns the answer, which is always `done`
   */
  apply(order: EngineOrder): EngineOrderResult {
    if (order.action === 'unload') this.residents.delete(order.item);
    if (order.action === 'load') this.residents.set(order.item, order.bytes);
    this.peakBytes = Math.max(this.peakBytes, this.usedBytes);
    if (this.usedBytes > this.#capacityBytes) this.overcommitCount += 1;
    return { status: 'done', reason: '' };
  }
}
