import type { RouteSpec } from '@chervilseam/model';

/**
 * Chooses a service of a route at random, in proportion to the weights of the route's targets.
 *
 * @param route - the route
 * @param unit - random number in [0, 1)
 * @returns name of the service, or `undefined` when the route has no targets
 */
export function chooseTarget({ targets }: RouteSpec, unit: number): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = unit * total;
  const found = targets.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (found ?? targets.at(-1))?.service;
}
