import type { ServiceSpec } from '@chervilseam/model';

/** What a request needs of an endpoint. */
export interface PickNeed {
  readonly service: ServiceSpec;
  readonly model?: string;
  readonly adapter?: string;
  /** Longest pause between events that is on time, in milliseconds. */
  readonly paceMaxMs: number;
  /** Endpoints that the request has been sent to. */
  readonly tried: ReadonlySet<string>;
}
