/** Conditions that an engine checks before it carries out an order. */
export interface OrderPreconditions {
  /** Name of the instance that sends the order and owns the engine. */
  readonly owner: string;
  /** Fencing token of that instance's lease. */
  readonly token: number;
  /** Number of orders that the engine has accepted so far; it refuses the order at another number. */
  readonly orderCount: number;
}
