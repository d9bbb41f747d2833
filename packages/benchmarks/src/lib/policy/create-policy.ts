import { ClairvoyantPolicy } from './clairvoyant-policy.js';
import { DirectPolicy } from './direct-policy.js';
import { ChervilseamPolicy } from './chervilseam-policy.js';
import type { SimPolicy } from './sim-policy.js';
import type { SimWorld } from './sim-world.js';

const factories: Readonly<Record<string, (world: SimWorld) => SimPolicy>> = {
  chervilseam: (world) => new ChervilseamPolicy(world),
  clairvoyant: (world) => new ClairvoyantPolicy(world),
};

/**
 * Creates a policy.
 *
 * @param name - `chervilseam`, `clairvoyant`, or one of {@link DirectPolicy.names}
 * @param world - the simulated deployment that it decides for
 */
export function createPolicy(name: string, world: SimWorld): SimPolicy {
  return factories[name]?.(world) ?? new DirectPolicy(world, name);
}
