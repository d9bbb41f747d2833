import type { InstanceState } from './instance-state.js';

/**
 * Answer of an owner of shares to the state of a follower (an instance without shares, whose state
 * the owner aggregates): everything that the owner knows of the other instances.
 */
export interface Overview {
  /** State of the answering owner, with sums over all instances except the follower. */
  readonly summary: InstanceState;
  /**
   * States of the other owners by their names, without sums, used adapters and loads from the weight
   * store; times are rounded.
   */
  readonly states: Readonly<Record<string, InstanceState>>;
}
