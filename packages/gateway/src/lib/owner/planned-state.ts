/** How far the plan to load a model has come. */
export const PlannedState = {
  /** The engine's owner was asked to load it. */
  begun: 'begun',
  /** A limit on loads delays it. */
  held: 'held',
  /** Other models come first. */
  queued: 'queued',
  /** No engine can take it now. */
  missing: 'missing',
} as const;

export type PlannedState = (typeof PlannedState)[keyof typeof PlannedState];
