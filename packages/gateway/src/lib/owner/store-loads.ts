import { LoadConcurrency, loadDelayMs, RecentLoads } from '@chervilseam/decisions';
import type { EngineSpec } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { Endpoint } from '../feed/endpoint.js';
import type { OwnedEngineState } from '../peer/owned-engine-state.js';
import { isFromStore } from './is-from-store.js';
import type { LoadContext } from './load-context.js';
import { loadsInProgress } from './loads-in-progress.js';

/** Assumed rest of a load that takes longer than expected, in milliseconds. */
const LATE_LOAD_MS = 600;

/** A load that could begin. */
interface PossibleLoad {
  readonly load: string;
  readonly isLowPriority: boolean;
  /** Whether nothing is lost yet if it begins later. */
  readonly canBeLate: boolean;
}

/** Dependencies of the loads. */
interface StoreLoadsContext extends LoadContext {
  readonly logger: PartLogger;
  /** Length of the window over which the weight store limits loads, in milliseconds. */
  readonly loadWindowMs: number;
  /** Factor that is applied to the number of loads that the store's rate allows in that window. */
  readonly loadSlackRatio: number;
}

/** Loads from the weight store, which limits their rate and sustains a number of them at a time. */
export class StoreLoads {
  readonly #context: StoreLoadsContext;
  readonly #recent: RecentLoads;
  readonly #concurrency = new LoadConcurrency();

  /** @param context - dependencies of the loads */
  constructor(context: StoreLoadsContext) {
    this.#context = context;
    this.#recent = new RecentLoads(context.loadWindowMs);
  }

  /**
   * Counts a load against the limit of the weight store.
   *
   * @param engine - the engine
   * @param model - the model
   * @param startMs - when it began or is expected to begin, in milliseconds
   */
  record(engine: string, model: string, startMs: number): void {
    this.#recent.record(engine, model, startMs);
  }

  /**
   * Learns how many loads at a time the weight store sustains.
   *
   * @param endpoints - engines of a service
   * @param spec - their capacity and models
   */
  observe(endpoints: readonly Endpoint[], spec: EngineSpec): void {
    const { logger, nowMs } = this.#context;
    const loads = this.#inProgress(endpoints, spec);
    const lateCount = loads.filter(({ isLate }) => isLate === true).length;
    if (!this.#concurrency.observe(loads.length, lateCount > 0, nowMs())) return;
    logger.info('loads_at_once', 'the number of loads at a time has changed', {
      countMax: this.#concurrency.countMax,
      loading: loads.length,
      late: lateCount,
    });
  }

  /**
   * @param possible - a load from the weight store
   * @param endpoints - engines of the service
   * @param spec - their capacity and models
   * @returns time until the weight store's limit permits the load, in milliseconds
   */
  delayMs(
    { load, isLowPriority, canBeLate }: PossibleLoad,
    endpoints: readonly Endpoint[],
    spec: EngineSpec,
  ): number {
    const { nowMs, loadWindowMs, loadSlackRatio } = this.#context;
    return loadDelayMs({
      storeLoadsPerSecond: spec.storeLoadsPerSecond,
      windowMs: loadWindowMs,
      slackRatio: loadSlackRatio,
      loadMs: spec.models.get(load)?.storeLoadMs ?? 0,
      isLowPriority,
      countMax: this.#concurrency.countMax,
      canBeLate,
      agesMs: this.#recent.agesMs(nowMs()),
      remainingMs: this.#inProgress(endpoints, spec).map(({ remainingMs, isLate }) =>
        isLate === true ? LATE_LOAD_MS : remainingMs,
      ),
    });
  }

  // Loads from the weight store that are planned or in progress.
  #inProgress(endpoints: readonly Endpoint[], spec: EngineSpec): OwnedEngineState['loading'] {
    return endpoints.flatMap((endpoint) =>
      loadsInProgress(endpoint, this.#context).filter(
        ({ model }) => spec.models.has(model) && isFromStore(endpoint.record, model),
      ),
    );
  }
}
