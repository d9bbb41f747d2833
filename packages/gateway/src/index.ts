/**
 * The request path of an entry instance, behind ports to callers, endpoints and the platform.
 *
 * @packageDocumentation
 */
export { Gateway } from './lib/gateway.js';
export type { GatewayPorts } from './lib/gateway.js';
export type { GatewaySettings } from './lib/gateway-settings.js';
export { AnswerFraming } from './lib/ports/answer-framing.js';
export type { AnswerHead } from './lib/ports/answer-head.js';
export type { CallerHead } from './lib/ports/caller-head.js';
export type { DispatchHead } from './lib/ports/dispatch-head.js';
export type { EndpointCodec } from './lib/ports/endpoint-codec.js';
export type { EngineCalls, OrderGrounds } from './lib/ports/engine-calls.js';
export type {
  ConfigPage,
  EndpointChange,
  EndpointPage,
  StateStore,
} from './lib/ports/state-store.js';
