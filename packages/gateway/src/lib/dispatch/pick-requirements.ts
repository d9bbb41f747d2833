import type { ServiceSpec } from '@chervilseam/model';

/** What an endpoint must provide for a request. */
export interface PickRequirements {
  readonly service: ServiceSpec;
  readonly model?: string;
  readonly adapter?: string;
  /** Longest time between events that meets the route's objective, in milliseconds. */
  readonly paceMaxMs: number;
  /** Number of tokens of its prompt; 0 without a prompt. */
  readonly promptTokenCount: number;
  /** Largest number of tokens of its output; 0 if it states none. */
  readonly outputTokenCountMax: number;
  /** Longest time to the first event that meets the route's objective, in milliseconds. */
  readonly objectiveMs: number;
  /** Whether an engine may end under the request: it is sent where it would take the fewest runs with it. */
  readonly isSuspect: boolean;
  /** Fraction of an engine's slots that may be taken when the request is sent there; 1 if absent. */
  readonly slotShare?: number;
  /** Identities of the endpoints that the request has been sent to. */
  readonly tried: ReadonlySet<string>;
}
