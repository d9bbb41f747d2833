import type { EndpointLoad } from './endpoint-load.js';
import type { OwnedEngineState } from './owned-engine-state.js';

/**
 * What an instance tells the others, several times a second. Sums include the instances that it
 * speaks for.
 */
export interface InstanceState {
  readonly instance: string;
  readonly failureDomain: string;
  readonly host: string;
  readonly port: number;
  /** Grows with each state of one start of the instance. */
  readonly sequence: number;
  readonly startedMs: number;
  readonly isStopping: boolean;
  /** Instances that the sums stand for, this one included; a count. */
  readonly instanceCount: number;
  /** Version of the configuration that is in force there. */
  readonly configVersion: number;
  /** Requests under way by endpoint; endpoints without any are left out. */
  readonly loads: Readonly<Record<string, EndpointLoad>>;
  /** Demand by model, in tokens to read a second. */
  readonly demand: Readonly<Record<string, number>>;
  /** Models that callers want an answer of sooner than they could be loaded. */
  readonly urgentModels: readonly string[];
  /** Models that requests wait for. */
  readonly awaited: readonly string[];
  /** Adapters used since the last state, by endpoint. */
  readonly usedAdapters: Readonly<Record<string, readonly string[]>>;
  /** Generation of the group that the shares belong to. */
  readonly generation: number;
  /** Whether it may give no orders until it has renewed its lease. */
  readonly hasLapsed: boolean;
  /** Shares of the endpoints that the store last gave to this instance. */
  readonly shares: readonly number[];
  /** Time since this instance last gave an order in a share, in milliseconds; old ones left out. */
  readonly orderAgesMs: Readonly<Record<number, number>>;
  /** Engines that this instance owns, by endpoint. */
  readonly engines: Readonly<Record<string, OwnedEngineState>>;
  /** Owners of shares that this instance hears, as host and port. */
  readonly owners: readonly string[];
}
