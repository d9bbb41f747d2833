import type { ServiceSpec } from '@chervilseam/model';

/** What a request needs of an endpoint. */
export interface PickNeed {
  readonly service: ServiceSpec;
  readonly model?: string;
  readonly adapter?: string;
  /** Longest pause between events that is on time, in milliseconds. */
  readonly paceMaxMs: number;
  /** Tokens of its prompt; 0 when it has none. */
  readonly promptTokenCount: number;
  /** Time to the first event that is on time, in milliseconds. */
  readonly objectiveMs: number;
  /** Endpoints that the request has been sent to. */
  readonly tried: ReadonlySet<string>;
}
