/**
 * Drivers of model engines and plain services.
 *
 * @packageDocumentation
 */
export { createDrivers } from './lib/create-drivers.js';
export type { EndpointDriver } from './lib/endpoint-driver.js';
export type { EndpointExchange } from './lib/endpoint-exchange.js';
export type { EndpointListener } from './lib/endpoint-listener.js';
export type { EndpointRequest } from './lib/endpoint-request.js';
export type { EngineOrder } from './lib/engine-order.js';
export type { EngineReport } from './lib/engine-report.js';
