import { ClairvoyantPolicy } from './clairvoyant-policy.js';
import { DirectPolicy } from './direct-policy.js';
import { OwnedPolicy } from './owned-policy.js';
import type { SimPolicy } from './sim-policy.js';
import type { SimWorld } from './sim-world.js';

const makers: Readonly<Record<string, (world: SimWorld) => SimPolicy>> = {
  chervilseam: (world) => new OwnedPolicy(world),
  clairvoyant: (world) => new ClairvoyantPolicy(world),
};

/**
 * Makes a policy.
 *
 * @param name - `chervilseam`, `clairvoyant`, or a baseline
 * @param world - the run
 */
export function createPolicy(name: string, world: SimWorld): SimPolicy {
  return makers[name]?.(world) ?? new DirectPolicy(world, name);
}
