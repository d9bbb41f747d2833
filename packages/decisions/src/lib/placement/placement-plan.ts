import type { PlacementMove } from './placement-move.js';

/** Result of one placement round. */
export interface PlacementPlan {
  readonly moves: readonly PlacementMove[];
  /**
   * Models that need a replica and that no engine can take, with the number of bytes that are
   * missing; 0 bytes when an engine could free enough memory, but only by a loss above the limit.
   */
  readonly shortfalls: readonly { readonly model: string; readonly bytes: number }[];
  /** Latency-tolerant models that need a replica and are not planned yet, in the order in which they will be. */
  readonly queued: readonly string[];
  /** Share of the demand that can be served once all moves are done; 0 to 1. */
  readonly servedShare: number;
}
