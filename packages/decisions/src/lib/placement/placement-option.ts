import type { PlacementInput } from './placement-input.js';

/** An engine that could take a replica, with the models to unload first. */
export interface PlacementOption {
  readonly engine: PlacementInput['engines'][number];
  readonly unload: readonly string[];
  /** Tokens per second that the move adds, less those that the unloaded replicas made. */
  readonly gain: number;
  /** Expected time until the models are unloaded, in milliseconds. */
  readonly unloadMs: number;
}
