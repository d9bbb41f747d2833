/** Outcome of an order according to the engine's answer. */
export const OrderOutcome = {
  /** The engine accepted the order and carries it out. */
  accepted: 'accepted',
  /** The ordered state is in effect already. */
  holds: 'holds',
  /**
   * Another order is in progress, or the engine has accepted an order that this instance doesn't
   * know of.
   */
  conflict: 'conflict',
  /**
   * The engine refuses the order for good: the address belongs to another engine now, or the
   * fencing token is too old.
   */
  refused: 'refused',
  /** There was no answer: the engine may still accept the order. */
  unknown: 'unknown',
} as const;

export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];
