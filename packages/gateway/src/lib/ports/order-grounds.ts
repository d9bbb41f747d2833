/** What an order rests on. */
export interface OrderGrounds {
  /** Name of the instance that gives the order. */
  readonly owner: string;
  /** Fencing token of its lease. */
  readonly token: number;
  /** Orders that the engine has taken so far; it refuses when that is another number. */
  readonly orderCount: number;
}
