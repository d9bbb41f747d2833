/** Conditions that an engine checks before it carries out an order. */
export interface OrderPreconditions {
  /** Name of the instance that sends the order and owns the engine. */
  readonly owner: string;
  /** Fencing token of that instance's lease. */
  readonly token: number;
  /** Number of orders that the engine must have accepted so far; it refuses the order otherwise. */
  readonly orderCount: number;
}
