import type { EndpointDriver } from './endpoint-driver.js';
import { HttpDriver } from './http-driver.js';

/**
 * Creates a driver for each kind of endpoint.
 *
 * @returns the drivers by the value of an endpoint's `driver` field
 */
export function createDrivers(): Readonly<Record<'engine' | 'service', EndpointDriver>> {
  return { engine: new HttpDriver(true), service: new HttpDriver(false) };
}
