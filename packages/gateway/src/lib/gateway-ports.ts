import type { PartLogger } from '@chervilseam/observe';
import type { EndpointCodec } from './ports/endpoint-codec.js';
import type { EngineCalls } from './ports/engine-calls.js';
import type { StateStore } from './ports/state-store.js';

/** Connections of a gateway to the store, the engines, the header codec and the log. */
export interface GatewayPorts {
  readonly store: StateStore;
  readonly calls: EngineCalls;
  readonly codec: EndpointCodec;
  /** @returns a logger for a part of the gateway, such as `peer` */
  readonly logger: (part: string) => PartLogger;
}
