import type { PartLogger } from '@chervilseam/observe';
import type { EndpointCodec } from './ports/endpoint-codec.js';
import type { EngineCalls } from './ports/engine-calls.js';
import type { StateStore } from './ports/state-store.js';

/** Interfaces that a gateway is given: store, control calls to engines, header codec and loggers. */
export interface GatewayPorts {
  readonly store: StateStore;
  readonly calls: EngineCalls;
  readonly codec: EndpointCodec;
  /** @returns a logger for a part of the gateway, such as `peer` */
  readonly logger: (part: string) => PartLogger;
}
