/**
 * The request path of an entry instance: it accepts callers' requests and sends them to endpoints. The
 * store, the engines and the header names are reached through ports (interfaces).
 *
 * @packageDocumentation
 */
export { Gateway } from './lib/gateway.js';
export { resettingConnector } from './lib/feed/resetting-connector.js';
export type { GatewayPorts } from './lib/gateway-ports.js';
export type { GatewaySettings } from './lib/gateway-settings.js';
export { AnswerFraming } from './lib/ports/answer-framing.js';
export type { AnswerHead } from './lib/ports/answer-head.js';
export type { CallerHead } from './lib/ports/caller-head.js';
export type { DispatchHead } from './lib/ports/dispatch-head.js';
export type { EndpointCodec } from './lib/ports/endpoint-codec.js';
export type { EngineCalls } from './lib/ports/engine-calls.js';
export type { OrderPreconditions } from './lib/ports/order-preconditions.js';
export type { ConfigPage } from './lib/ports/config-page.js';
export type { EndpointChange } from './lib/ports/endpoint-change.js';
export type { EndpointPage } from './lib/ports/endpoint-page.js';
export { StoreBusyError } from './lib/ports/store-busy-error.js';
export type { StateStore } from './lib/ports/state-store.js';
