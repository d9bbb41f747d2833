import type { InstanceState } from './instance-state.js';

/**
 * Answer of an owner of shares to the state of a follower (an instance without shares, whose state
 * the owner aggregates): everything that the owner knows of the other instances.
 */
export interface Overview {
  /** State of the answering owner, with sums over all instances except the follower. */
  readonly summary: InstanceState;
  /** Names of the other owners that the answering one recently received states from. */
  readonly owners: readonly string[];
  /** Hash of the parts of the other owners' states that change seldom. */
  readonly version: number;
  /** States of the other owners without their sums; left out when the follower has this version. */
  readonly states?: readonly InstanceState[];
}
