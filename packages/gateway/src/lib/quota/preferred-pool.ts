import { weightedRendezvous } from '@chervilseam/decisions';
import type { QuotaPeer } from './quota-peer.js';

/**
 * Chooses the pool that an instance asks: the same one for all instances of a failure domain that know the same
 * owners, and rather one with a faster processor.
 *
 * @param failureDomain - where the instance is
 * @param owners - instances that may be a pool
 * @returns the pool; `undefined` without owners
 */
export function preferredPool(
  failureDomain: string,
  owners: readonly QuotaPeer[],
): QuotaPeer | undefined {
  const local = owners.filter((owner) => owner.failureDomain === failureDomain);
  const candidates = local.length > 0 ? local : owners;
  const nodes = candidates.map((peer) => ({
    name: peer.instance,
    size: peer.processorShare ?? 1,
    peer,
  }));
  return weightedRendezvous(`quota/${failureDomain}`, nodes)?.peer;
}
