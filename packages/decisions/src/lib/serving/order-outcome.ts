/** What became of an order, as far as its answer tells. */
export const OrderOutcome = {
  /** The engine carries it out. */
  accepted: 'accepted',
  /** What was ordered is so already. */
  holds: 'holds',
  /** Another order is in progress, or the engine has taken an order that this instance missed. */
  conflict: 'conflict',
  /** The engine refuses it for good: it is another engine, or the token is too old. */
  refused: 'refused',
  /** No answer: the order may be carried out, now or later. */
  unknown: 'unknown',
} as const;

export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];
