/** Why a replica is added; the values are shown to operators. */
export const MoveReason = {
  /** The model must have a replica, by a policy or for waiting requests, and has none. */
  reach: 'no replica can be reached',
  /** A latency-tolerant model has waited so long for a replica that it goes before further replicas of others. */
  turn: 'a model without a replica has its turn',
  /** The present demand exceeds what the model's engines can serve. */
  capacity: 'more is wanted than its engines make',
  /** The forecast demand exceeds what the model's engines can serve. */
  forecast: 'more is expected than its engines make',
  /** The model has no replica, and an engine that is not busy has free memory for it. */
  residence: 'free memory holds a model without a replica',
} as const;

export type MoveReason = (typeof MoveReason)[keyof typeof MoveReason];
