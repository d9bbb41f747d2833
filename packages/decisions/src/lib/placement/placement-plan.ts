import type { PlacementMove } from './placement-move.js';

/** What a round of placement came to. */
export interface PlacementPlan {
  readonly moves: readonly PlacementMove[];
  /** Labelled models that no engine has room for, with the bytes that are short. */
  readonly shortfalls: readonly { readonly model: string; readonly bytes: number }[];
  /** Share of the wanted tokens that the placement after the moves can make. */
  readonly servedShare: number;
}
