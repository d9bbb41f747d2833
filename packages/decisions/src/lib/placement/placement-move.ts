import type { MoveReason } from './move-reason.js';

/** One step of a placement plan: a load, with the unloads that free memory for it. */
export interface PlacementMove {
  readonly engine: string;
  readonly load: string;
  readonly unload: readonly string[];
  /** Expected time until those models are unloaded, in milliseconds. */
  readonly unloadMs: number;
  /** Expected net gain of the move, in tokens per second. */
  readonly gain: number;
  readonly reason: MoveReason;
  /** The next best engines for this load, with the gain of each in tokens per second. */
  readonly alternatives: readonly { readonly engine: string; readonly gain: number }[];
}
