import type { PartLogger } from '@chervilseam/observe';
import type { EndpointCodec } from './ports/endpoint-codec.js';
import type { EngineCalls } from './ports/engine-calls.js';
import type { StateStore } from './ports/state-store.js';

/** Ways to the outside. */
export interface GatewayPorts {
  readonly store: StateStore;
  readonly calls: EngineCalls;
  readonly codec: EndpointCodec;
  /** @returns a logger for a part */
  readonly logger: (part: string) => PartLogger;
}
