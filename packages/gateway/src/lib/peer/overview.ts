import type { InstanceState } from './instance-state.js';

/**
 * What an owner of shares answers an instance that has none and tells it its state: all that it
 * knows, summed up.
 */
export interface Overview {
  /** The owner's own word, its sums over all instances but the one that is answered. */
  readonly summary: InstanceState;
  /** The other owners that are heard. */
  readonly owners: readonly string[];
  /** Hash of what the owners tell of themselves and of their engines. */
  readonly version: number;
  /** The other owners' states without their sums; left out when the version is known already. */
  readonly states?: readonly InstanceState[];
}
