import { hashOf } from '@chervilseam/decisions';
import { peerKey } from './peer-key.js';
import type { PeerLink } from './peer-link.js';

/**
 * Chooses the owner that an instance without shares follows: one in its own failure domain, where there
 * is one. Hashing both names spreads the followers over the owners.
 *
 * @param instance - name of the follower
 * @param links - owners that can be called now
 * @param penaltyOf - number of ranks that an owner loses
 * @returns the best owner, or `undefined` when there is none
 */
export function bestAggregator(
  instance: string,
  links: readonly PeerLink[],
  penaltyOf: (link: PeerLink) => number = () => 0,
): PeerLink | undefined {
  const rankOf = (link: PeerLink): number => (link.isLocal ? 0 : 1) + penaltyOf(link);
  const hashRankOf = ({ address }: PeerLink): number => hashOf(`${instance}@${peerKey(address)}`);
  return [...links]
    .sort((left, right) => rankOf(left) - rankOf(right) || hashRankOf(left) - hashRankOf(right))
    .at(0);
}
