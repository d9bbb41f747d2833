/**
 * Small HTTP servers that stand in for the platform and the endpoints, for tests, benchmarks and the
 * demo.
 *
 * @packageDocumentation
 */
export { engineAnswer } from './lib/engine-answer.js';
export { EngineStandIn } from './lib/engine-stand-in.js';
export { HttpStandIn } from './lib/http-stand-in.js';
export { InstanceListStandIn } from './lib/instance-list-stand-in.js';
export { LogStandIn } from './lib/log-stand-in.js';
export { ServiceStandIn } from './lib/service-stand-in.js';
export { WeightStoreStandIn } from './lib/weight-store-stand-in.js';
