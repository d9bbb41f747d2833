import type { EndpointDriver } from './endpoint-driver.js';
import { HttpDriver } from './http-driver.js';

/**
 * Makes the drivers, one for each kind of endpoint.
 *
 * @returns the lookup table by the endpoint's `driver` field
 */
export function createDrivers(): Readonly<Record<'engine' | 'service', EndpointDriver>> {
  return { engine: new HttpDriver(true), service: new HttpDriver(false) };
}
