import { setTimeout as sleep } from 'node:timers/promises';
import {
  EngineInventory,
  orderDelayMs,
  OrderOutcome,
  SlotWaits,
  UNLOAD_NOTICE_MS,
} from '@chervilseam/decisions';
import type { EngineOrder } from '@chervilseam/decisions';
import type { EngineSpec } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { Endpoint } from '../feed/endpoint.js';
import type { OwnedEngineState } from '../peer/owned-engine-state.js';
import type { EngineCalls } from '../ports/engine-calls.js';
import { loadTimeMs } from './load-time-ms.js';
import type { EngineMove } from './engine-move.js';

/**
 * Greatest age of the state in an engine's report, in milliseconds. A report that is requested sooner
 * after an order may not show the effect of the order.
 */
const REPORT_AGE_MAX_MS = 250;
/** Time from an accepted order to load an adapter until the adapter is ready, in milliseconds. */
const ADAPTER_LOAD_MS = 11;
/** An adapter that was used within this time is not evicted, in milliseconds. */
const ADAPTER_IDLE_MIN_MS = 200;
/**
 * Time for which an adapter waits for a slot before it takes one whose adapter is in use, in milliseconds; no other one
 * takes a slot before it then.
 */
const ADAPTER_WAIT_MAX_MS = 1_000;
/**
 * Number of times that an unanswered order is sent again. All copies name the same number of previous
 * orders, so the engine accepts at most one of them.
 */
const ORDER_REPEAT_MAX = 2;
/**
 * Expected duration of an unload, which waits for the requests in progress, if the planner does not state
 * one, in milliseconds.
 */
const UNLOAD_MS = 1_500;
/**
 * How long the start of a load from the weight store is published, in milliseconds: longer than any
 * window over which the store limits loads.
 */
const STORE_LOAD_RETENTION_MS = 10_000;
/** Time from the end of a load until the engine's report shows it, in milliseconds. */
const LOAD_REPORT_MS = 300;
/** Share of its expected duration by which a load must be overdue to count as late. */
const LATE_LOAD_SHARE = 0.15;
/** Time after its expected end at which a load counts as stuck rather than late, in milliseconds. */
const LATE_LOAD_MAX_MS = 4_000;
/** Time between two requests for a report, in milliseconds. */
const REPORT_INTERVAL_MS = 200;

/** Dependencies of an engine's owner. */
interface EngineOwnerContext {
  readonly instance: string;
  readonly calls: EngineCalls;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  /** @returns the fencing token for orders, or `undefined` when this instance must not give any now */
  readonly token: () => number | undefined;
  /** Called when the engine announced in a report that it is about to exit. */
  readonly onLeaving: () => void;
  /** Called right before each sending of an order; returns what is to be called with its outcome. */
  readonly onSend: () => (outcome: OrderOutcome) => void;
  /** Called with the time from the start of a move to the order of its load, and until its model can serve. */
  readonly onMoved: (step: 'move_order' | 'move_ready', afterMs: number) => void;
  /** Called when the state has changed in a way that the other instances need at once. */
  readonly onChanged: () => void;
}

/** Gives orders to one engine that this instance owns, one at a time. */
export class EngineOwner {
  readonly #context: EngineOwnerContext;
  readonly #endpoint: Endpoint;
  #spec: EngineSpec;
  /** The engine's models and adapters, as counted from its reports and the orders sent to it. */
  readonly #engine: EngineInventory;
  #queue: Promise<unknown> = Promise.resolve();
  #queuedCount = 0;
  #lastOrderMs = -Infinity;
  #nextReportMs = 0;
  /** Adapters that were asked for while no slot was free. */
  readonly #slotWaits = new SlotWaits();
  #move: EngineMove | undefined;
  /** When the current or latest move began, in milliseconds. */
  #movedMs = 0;
  /** Expected end of the current move's unloads, in milliseconds. */
  #unloadedMs = 0;
  /** When each model that the current move unloads may be unloaded at the earliest, in milliseconds. */
  readonly #unloadFromMs = new Map<string, number>();
  /** Expected end of each load in progress, by model, in milliseconds. */
  readonly #loadEndsMs = new Map<string, number>();
  /** Start of the latest load from the weight store, by model, in milliseconds. */
  readonly #storeLoadStartsMs = new Map<string, number>();

  /**
   * @param context - dependencies of the owner
   * @param endpoint - the engine
   * @param spec - models and capacities of the engines of its service
   */
  constructor(context: EngineOwnerContext, endpoint: Endpoint, spec: EngineSpec) {
    this.#context = context;
    this.#endpoint = endpoint;
    this.#spec = spec;
    this.#engine = new EngineInventory(spec);
  }

  /** @param spec - models and capacities by a newer configuration */
  updateSpec(spec: EngineSpec): void {
    if (spec === this.#spec) return;
    this.#spec = spec;
    this.#engine.updateSpec(spec);
  }

  /** State of the engine that is published to the other instances. */
  get state(): OwnedEngineState {
    const nowMs = this.#context.nowMs();
    const loading: OwnedEngineState['loading'][number][] = [...this.#loadEndsMs].map(
      ([model, endMs]) => ({
        model,
        remainingMs: Math.max(0, Math.round(endMs - nowMs)),
        ...(this.#isLate(model, nowMs - endMs) && { isLate: true }),
      }),
    );
    const next = this.#move?.load;
    if (next !== undefined && !this.#loadEndsMs.has(next)) {
      const unloadMs = Math.max(0, Math.round(this.#unloadedMs - nowMs));
      loading.push({ model: next, remainingMs: unloadMs + this.#loadMs(next) });
    }
    const leaving = [
      ...new Set([...this.#unloadFromMs.keys(), ...this.#engine.modelsIn('leaving')]),
    ];
    const adapters = this.#engine.readyAdapters;
    const models = this.#engine.modelsIn('ready').filter((model) => !this.#unloadFromMs.has(model));
    const storeLoadAgesMs = this.#storeLoadAgesMs(nowMs);
    const { isBusy } = this.#engine;
    return { models, adapters, isBusy, leaving, storeLoadAgesMs, loading };
  }

  // Includes the load that the current move has yet to begin, with an age of 0.
  #storeLoadAgesMs(nowMs: number): Record<string, number> {
    this.#storeLoadStartsMs.forEach((startMs, model) => {
      if (nowMs > startMs + STORE_LOAD_RETENTION_MS) this.#storeLoadStartsMs.delete(model);
    });
    const started = [...this.#storeLoadStartsMs].map(([model, startMs]) => [
      model,
      nowMs - startMs,
    ]);
    const next = this.#move?.load;
    const isUpcoming = next !== undefined && this.#isFromStore(next);
    return { ...(isUpcoming && { [next]: 0 }), ...Object.fromEntries(started) };
  }

  #isFromStore(model: string): boolean {
    const { hostModels, diskModels } = this.#endpoint.record;
    return !hostModels.includes(model) && !diskModels.includes(model);
  }

  /** Whether the engine's models are being changed, or are about to be. */
  get isMoving(): boolean {
    return this.#move !== undefined || this.#engine.isBusy;
  }

  /** Whether a report has shown what the engine holds. */
  get isKnown(): boolean {
    return this.#engine.orderCount !== undefined;
  }

  /**
   * Enqueues the next step, unless one is still queued: a request for a report, the repetition of an
   * unconfirmed order, or the next order of the current move.
   */
  tick(): void {
    const { nowMs, token } = this.#context;
    if (token() === undefined || this.#queuedCount > 0) return;
    const needsReport = !this.isKnown || this.#isChangeDue() || this.#engine.hasLeavingAdapters;
    if (needsReport && nowMs() >= this.#nextReportMs) {
      void this.#enqueue(() => this.#readReport());
      return;
    }
    const { unconfirmedOrder } = this.#engine;
    if (this.isKnown && unconfirmedOrder && nowMs() > this.#lastOrderMs + REPORT_AGE_MAX_MS) {
      void this.#enqueue(() => this.#order(unconfirmedOrder));
      return;
    }
    if (this.isKnown && this.#move && !this.#engine.isBusy) void this.#enqueue(() => this.#step());
  }

  /**
   * Begins a change of the engine's models.
   *
   * @param move - models to load and unload
   * @returns whether it was begun: not while another change is in progress or before the first report
   */
  beginMove(move: EngineMove): boolean {
    if (this.isMoving || !this.isKnown) return false;
    this.#move = move;
    const nowMs = this.#context.nowMs();
    this.#movedMs = nowMs;
    this.#unloadedMs = nowMs + orderDelayMs(move.unload.length, move.unloadMs ?? UNLOAD_MS);
    move.unload.forEach((model) => this.#unloadFromMs.set(model, nowMs + UNLOAD_NOTICE_MS));
    this.#context.onChanged();
    return true;
  }

  /**
   * Records the use of adapters, which the choice of an adapter to evict depends on.
   *
   * @param items - adapters that requests used, each as model and adapter with a slash between
   */
  recordUse(items: readonly string[]): void {
    const nowMs = this.#context.nowMs();
    items.forEach((item) => {
      const [model, adapter] = item.split('/');
      this.#engine.recordAdapterUse(model, adapter, nowMs);
    });
  }

  /**
   * Loads an adapter; when all adapter slots are taken, another one is unloaded first.
   *
   * @param model - the adapter's model
   * @param adapter - the adapter
   * @param wasDenied - whether the engine answered a request that it does not have the adapter
   * @returns whether the adapter is ready
   */
  async loadAdapter(model: string, adapter: string, wasDenied: boolean): Promise<boolean> {
    if (this.#context.token() === undefined || !this.isKnown || this.#engine.isBusy) return false;
    const known = this.#engine.adapterState(model, adapter);
    if (known === 'ready' && !wasDenied) return true;
    if (known === 'ready') this.#engine.markAdapterDenied(model, adapter);
    await this.#enqueue(() => this.#orderAdapterLoad(model, adapter));
    if (this.#engine.adapterState(model, adapter) === 'in-flight') {
      await sleep(ADAPTER_LOAD_MS);
      this.#engine.markAdapterReady(model, adapter);
    }
    return this.#engine.adapterState(model, adapter) === 'ready';
  }

  async #orderAdapterLoad(model: string, adapter: string): Promise<void> {
    if (this.#engine.adapterState(model, adapter)) return;
    const load: EngineOrder = { action: 'load', model, adapter };
    const needsSlot = !this.#engine.holdsSlot(model, adapter);
    if (needsSlot && !(await this.#freeSlot(`${model}/${adapter}`))) return;
    await this.#order(load);
  }

  // Makes room for an adapter. Returns whether it may take a slot now.
  async #freeSlot(item: string): Promise<boolean> {
    const nowMs = this.#context.nowMs();
    this.#slotWaits.ask(item, nowMs);
    const longest = this.#slotWaits.longest(nowMs);
    const isOverdue = longest !== undefined && longest.waitedMs > ADAPTER_WAIT_MAX_MS;
    if (isOverdue && longest.item !== item) return false;
    if (this.#engine.adapterCount >= this.#spec.adapterSlotCount) {
      // Its slot becomes free once no request uses it any more.
      if (this.#engine.hasLeavingAdapters) return false;
      const unload = this.#engine.idleAdapterUnload(nowMs - (isOverdue ? 0 : ADAPTER_IDLE_MIN_MS));
      if (!unload) return false;
      await this.#order(unload);
      if (this.#engine.hasLeavingAdapters) return false;
    }
    this.#slotWaits.end(item);
    return true;
  }

  // The next step of the move: unloads its models one at a time, each after its notice, then loads the
  // new one.
  async #step(): Promise<void> {
    const move = this.#move as EngineMove;
    const nowMs = this.#context.nowMs();
    const nextUnload = move.unload.find((model) => this.#engine.models.includes(model));
    if (nextUnload === undefined) {
      await this.#loadModel(move.load);
      return;
    }
    if (nowMs < (this.#unloadFromMs.get(nextUnload) ?? 0)) return;
    const outcome = await this.#order({ action: 'unload', model: nextUnload });
    if (outcome === OrderOutcome.refused) this.#endMove();
  }

  async #loadModel(model: string): Promise<void> {
    const loadMs = this.#loadMs(model);
    if (this.#isFromStore(model)) this.#storeLoadStartsMs.set(model, this.#context.nowMs());
    const outcome = await this.#order({ action: 'load', model });
    if (outcome === OrderOutcome.accepted) {
      this.#loadEndsMs.set(model, this.#context.nowMs() + loadMs);
      this.#context.onMoved('move_order', this.#context.nowMs() - this.#movedMs);
    }
    // After a conflict the engine is asked for a report, and then the move continues.
    if (outcome !== OrderOutcome.conflict) this.#endMove();
  }

  #isLate(model: string, overdueMs: number): boolean {
    const dueMs = LOAD_REPORT_MS + LATE_LOAD_SHARE * this.#loadMs(model);
    return overdueMs > dueMs && overdueMs < LATE_LOAD_MAX_MS;
  }

  #loadMs(model: string): number {
    const spec = this.#spec.models.get(model);
    return spec ? loadTimeMs(this.#endpoint.record, spec) : 0;
  }

  #endMove(): void {
    this.#move = undefined;
    this.#unloadFromMs.clear();
  }

  // Whether the engine should have finished its change by now. It is then asked for a report, because
  // the endpoints' list shows the change later.
  #isChangeDue(): boolean {
    if (!this.#engine.isBusy) return false;
    const nowMs = this.#context.nowMs();
    return [...this.#loadEndsMs.values()].every((endMs) => nowMs > endMs);
  }

  async #readReport(): Promise<void> {
    const { calls, nowMs, logger, onLeaving } = this.#context;
    this.#nextReportMs = nowMs() + REPORT_INTERVAL_MS;
    const orderAgeMs = nowMs() - this.#lastOrderMs;
    if (orderAgeMs < REPORT_AGE_MAX_MS) {
      this.#nextReportMs = nowMs() + REPORT_AGE_MAX_MS - orderAgeMs;
      return;
    }
    try {
      const report = await calls.report(this.#endpoint.record);
      const { bornMs } = report;
      // The engine has started again under its id, which the list does not show yet.
      if (bornMs !== undefined && bornMs !== this.#endpoint.record.bornMs) {
        logger.info('report_of_other_run', 'an engine’s report is of another run of its process', {
          endpoint: this.#endpoint.id,
          bornMs,
          listedBornMs: this.#endpoint.record.bornMs,
        });
        return;
      }
      if (report.isLeaving) onLeaving();
      if (!this.#engine.applyReport(report, nowMs())) return;
      this.#loadEndsMs.forEach((_, model) => {
        if (this.#engine.modelsIn('loading').includes(model)) return;
        this.#loadEndsMs.delete(model);
        this.#context.onChanged();
        this.#context.onMoved('move_ready', nowMs() - this.#movedMs);
        this.#endpoint.markPresent(model);
      });
      logger.info('engine_reported', 'adopted an engine’s report', {
        endpoint: this.#endpoint.id,
        orders: report.orderCount,
        busy: report.isBusy,
        models: report.models.map(({ name }) => name),
      });
    } catch (error) {
      logger.info('report_missing', 'could not read an engine’s report', {
        endpoint: this.#endpoint.id,
        error: (error as Error).message,
      });
    }
  }

  async #order(order: EngineOrder): Promise<OrderOutcome> {
    const { calls, instance, nowMs, token, logger, onSend } = this.#context;
    const withholdReason = this.#engine.withholdReason(order);
    if (withholdReason !== undefined) {
      logger.info('order_withheld', withholdReason, { endpoint: this.#endpoint.id, ...order });
      return OrderOutcome.refused;
    }
    let outcome: OrderOutcome = OrderOutcome.unknown;
    for (let repeat = 0; repeat <= ORDER_REPEAT_MAX; repeat += 1) {
      // The token is read right before each sending, since the lease may have lapsed in the meantime.
      const fencingToken = token();
      const orderCount = this.#engine.orderCount as number;
      if (fencingToken === undefined) break;
      if (repeat === 0) this.#engine.recordSent(order, nowMs());
      const preconditions = { owner: instance, token: fencingToken, orderCount };
      const onOutcome = onSend();
      // eslint-disable-next-line no-await-in-loop
      outcome = await calls.order(this.#endpoint.record, order, preconditions);
      this.#lastOrderMs = nowMs();
      onOutcome(outcome);
      logger.info('order', `outcome of an order: ${outcome}`, {
        endpoint: this.#endpoint.id,
        ...order,
        ...preconditions,
        repeat,
      });
      this.#engine.applyOutcome(order, outcome);
      if (outcome !== OrderOutcome.unknown) break;
    }
    return outcome;
  }

  #enqueue<T>(task: () => Promise<T>): Promise<T> {
    this.#queuedCount += 1;
    const run = this.#queue.then(task);
    this.#queue = run
      .catch((error: Error) => {
        const fields = { endpoint: this.#endpoint.id, error: error.message };
        this.#context.logger.error('owner_fault', 'a queued step for an engine failed', fields);
      })
      .finally(() => {
        this.#queuedCount -= 1;
      });
    return run;
  }
}
