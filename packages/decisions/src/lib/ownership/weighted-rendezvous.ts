import { hashOf } from './hash-of.js';

/** Something that keys are spread over. */
interface WeightedNode {
  readonly name: string;
  /** Relative share of the keys; more than 0. */
  readonly size: number;
}

const HASH_RANGE = 2 ** 32;

// The finalizer of MurmurHash3 mixes two hashes that are computed once for each name: a digest for
// each pair would cost a hundred times more when a member comes or goes.
function mix(left: number, right: number): number {
  let value = left ^ Math.imul(right, 0x9e3779b1);
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35);
  return (value ^ (value >>> 16)) >>> 0;
}

/**
 * Chooses the node for a key so that each gets keys in proportion to its size, and a node that
 * comes or goes moves no keys but its own.
 *
 * @param key - what is to be placed
 * @param nodes - the nodes to choose from
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
