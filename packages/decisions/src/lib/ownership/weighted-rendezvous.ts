import { hashOf } from './hash-of.js';

/** A node that keys are assigned to. */
interface WeightedNode {
  readonly name: string;
  /** Weight of the node: its share of the keys is proportional to it; greater than 0. */
  readonly size: number;
}

const HASH_RANGE = 2 ** 32;

// Mixes two cached hashes by the finalizer of MurmurHash3. A SHA-1 digest for each pair of key and
// node would take a hundred times longer when a member joins or leaves.
function mix(left: number, right: number): number {
  let value = left ^ Math.imul(right, 0x9e3779b1);
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

/**
 * Assigns a key to a node by weighted rendezvous hashing: each node gets keys in proportion to its
 * size, and a node that joins or leaves moves no keys but its own.
 *
 * @param key - the key to assign
 * @param nodes - nodes to choose from
 * @returns the chosen node, or `undefined` when there is none
 * @example
 * ```ts
 * const owner = weightedRendezvous('endpoint/engine-1', members);
 * ```
 */
export function weightedRendezvous<T extends WeightedNode>(
  key: string,
  nodes: readonly T[],
): T | undefined {
  const keyHash = hashOf(key);
  let best: T | undefined;
  let bestScore = -Infinity;
  nodes.forEach((node) => {
    const unit = (mix(hashOf(node.name), keyHash) + 1) / (HASH_RANGE + 1);
    const score = -node.size / Math.log(unit);
    if (score > bestScore || (score === bestScore && best && node.name < best.name)) {
      best = node;
      bestScore = score;
    }
  });
  return best;
}
