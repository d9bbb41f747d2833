import type { RouteSpec } from '@chervilseam/model';

/**
 * Spreads requests over a route's services by weight.
 *
 * @param route - the route
 * @param unit - a random number from 0 up to 1
 * @returns the name of the service, or `undefined` when the route has none
 */
export function chooseTarget({ targets }: RouteSpec, unit: number): string | undefined {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let rest = unit * total;
  const found = targets.find(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  return (found ?? targets.at(-1))?.service;
}
