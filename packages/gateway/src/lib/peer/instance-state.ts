import type { EngineEnd } from '@chervilseam/decisions';
import type { EndpointLoad } from './endpoint-load.js';
import type { OwnedEngineState } from './owned-engine-state.js';

/**
 * State that an instance publishes to the others several times a second. An instance that aggregates
 * the states of followers includes them in `instanceCount`, `loads`, `demand`, `urgentModels`,
 * `awaited`, `returning` and `returningSoon`. The property names are the keys on the wire.
 */
export interface InstanceState {
  readonly instance: string;
  readonly failureDomain: string;
  readonly host: string;
  readonly port: number;
  /** Number of the state, increasing from the start of the process. */
  readonly sequence: number;
  /** Wall-clock time at which the process started, in milliseconds. */
  readonly startedMs: number;
  /** Age of the process in milliseconds, up to the age at which its orders are no longer published. */
  readonly uptimeMs: number;
  readonly isStopping: boolean;
  /** Speed of its processor as a share of a core; `undefined` from an instance of an earlier version. */
  readonly processorShare?: number;
  /** Number of instances that the sums cover, including this one. */
  readonly instanceCount: number;
  /** Version of the configuration in force at the instance. */
  readonly configVersion: number;
  /** Requests in progress by endpoint; endpoints without any are left out. */
  readonly loads: Readonly<Record<string, EndpointLoad>>;
  /** Demand by model, in prompt-token equivalents per second. */
  readonly demand: Readonly<Record<string, number>>;
  /**
   * Mean loss of the callers of each model for each token that is not served in time, by priority; 1 for the
   * highest priority. `undefined` from an instance of an earlier version.
   */
  readonly lossWeights?: Readonly<Record<string, number>>;
  /** Latency-critical models: callers want an answer sooner than the model could be loaded. */
  readonly urgentModels: readonly string[];
  /**
   * Models whose callers would be answered late if they waited for a load, `urgentModels` among them;
   * `undefined` from an instance of an earlier version.
   */
  readonly lateAfterLoadModels?: readonly string[];
  /** Models that queued requests wait for. */
  readonly awaited: readonly string[];
  /**
   * Models whose callers were refused and have yet to return; `undefined` from an instance of an earlier version.
   */
  readonly returning?: readonly string[];
  /** Those of them with a caller who returns before a load that begins now is done. */
  readonly returningSoon?: readonly string[];
  /** Adapters used since the previous state, each as `model/adapter`, by endpoint. */
  readonly usedAdapters: Readonly<Record<string, readonly string[]>>;
  /** Generation of the group in which `shares` were assigned. */
  readonly generation: number;
  /** Whether the instance must not give orders until it has renewed its lease. */
  readonly hasLapsed: boolean;
  /** Shares (partitions of the endpoints) that the store last assigned to the instance. */
  readonly shares: readonly number[];
  /**
   * Time since the instance last gave an order in a share, in milliseconds; old ones are left out. For a
   * share that the instance was assigned but could not use yet, time since the latest moment at which an
   * earlier owner may have given an order; negative when that moment is still to come.
   */
  readonly orderAgesMs: Readonly<Record<number, number>>;
  /** States of the engines that the instance owns, by endpoint. */
  readonly engines: Readonly<Record<string, OwnedEngineState>>;
  /**
   * Expected time until each model that the instance has planned to load can serve, in milliseconds; empty
   * unless it is the planner, `undefined` from an instance of an earlier version.
   */
  readonly planned?: Readonly<Record<string, number>>;
  /** Ends of engines that the instance knows of, by the ids of the ends. */
  readonly engineEnds: Readonly<Record<string, EngineEnd>>;
  /**
   * Runs of endpoints that have announced that they are about to exit, as this instance knows; `undefined`
   * from an instance of an earlier version.
   */
  readonly leavingRuns?: readonly string[];
  /** Set when the instance holds parts of quotas; `undefined` otherwise, and from an instance of an earlier version. */
  readonly hasQuotaLeases?: true;
  /** Addresses of the owners of shares that answer the instance, each as `host:port`. */
  readonly owners: readonly string[];
}
