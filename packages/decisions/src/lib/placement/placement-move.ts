import type { MoveReason } from './move-reason.js';

/** One step of a placement: a load, with the unloads that make room for it. */
export interface PlacementMove {
  readonly engine: string;
  readonly load: string;
  readonly unload: readonly string[];
  /** Tokens a second that the move is expected to win. */
  readonly gain: number;
  readonly reason: MoveReason;
  /** Other engines that were weighed, with what they would have won. */
  readonly alternatives: readonly { readonly engine: string; readonly gain: number }[];
}
