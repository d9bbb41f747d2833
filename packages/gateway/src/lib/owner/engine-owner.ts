import { setTimeout as sleep } from 'node:timers/promises';
import { EngineHolding, OrderOutcome } from '@chervilseam/decisions';
import type { EngineOrder } from '@chervilseam/decisions';
import type { EngineSpec } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { Endpoint } from '../feed/endpoint.js';
import type { OwnedEngineState } from '../peer/owned-engine-state.js';
import type { EngineCalls } from '../ports/engine-calls.js';
import { loadTimeMs } from './load-time-ms.js';
import type { EngineMove } from './engine-move.js';

/** Reports are this old at most, in milliseconds: what is asked sooner after an order may not show it. */
const REPORT_LAG_MS = 250;
/** Time that an adapter takes to arrive, in milliseconds. */
const ADAPTER_ARRIVAL_MS = 11;
/** An adapter that was used this lately is not taken away, in milliseconds. */
const ADAPTER_IDLE_MS = 200;
/** Times that an order without an answer is sent again: the first that is taken rules out the others. */
const ORDER_REPEAT_MAX = 2;
/** Time that requests have to hear that a model is leaving, in milliseconds. */
const LEAVING_NOTICE_MS = 130;
/** Time that an unload is expected to take: requests in progress end first; in milliseconds. */
const UNLOAD_MS = 1_500;
/** Loads from the weight store are told this long, in milliseconds: longer than any window of its limit. */
const STORE_LOAD_MEMORY_MS = 10_000;
/** Time between two reports while a change is awaited, in milliseconds. */
const REPORT_PAUSE_MS = 200;

/** What an owner needs around it. */
interface EngineOwnerContext {
  readonly instance: string;
  readonly calls: EngineCalls;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  /** @returns the fencing token, or `undefined` when this instance must not act now */
  readonly token: () => number | undefined;
  readonly onOrder: (outcome: OrderOutcome) => void;
}

/** One engine that this instance gives orders to, one order after the other. */
export class EngineOwner {
  readonly #context: EngineOwnerContext;
  readonly #endpoint: Endpoint;
  readonly #spec: EngineSpec;
  readonly #holding: EngineHolding;
  #queue: Promise<unknown> = Promise.resolve();
  #queuedCount = 0;
  #lastOrderMs = -Infinity;
  #nextReportMs = 0;
  #move: EngineMove | undefined;
  readonly #leaving = new Map<string, number>();
  readonly #loadDoneMs = new Map<string, number>();
  readonly #storeLoadsMs = new Map<string, number>();

  /**
   * @param context - what is needed around it
   * @param endpoint - the engine
   * @param spec - what engines of its service can do
   */
  constructor(context: EngineOwnerContext, endpoint: Endpoint, spec: EngineSpec) {
    this.#context = context;
    this.#endpoint = endpoint;
    this.#spec = spec;
    this.#holding = new EngineHolding(spec);
  }

  /** What the other instances are told. */
  get state(): OwnedEngineState {
    const nowMs = this.#context.nowMs();
    const loading = [...this.#loadDoneMs].map(([model, doneMs]) => ({
      model,
      remainingMs: Math.max(0, Math.round(doneMs - nowMs)),
    }));
    const next = this.#move?.load;
    if (next !== undefined && !this.#loadDoneMs.has(next)) {
      loading.push({ model: next, remainingMs: UNLOAD_MS + this.#loadMs(next) });
    }
    const leaving = [...new Set([...this.#leaving.keys(), ...this.#holding.modelsIn('leaving')])];
    const adapters = this.#holding.readyAdapters;
    const models = this.#holding.modelsIn('ready').filter((model) => !this.#leaving.has(model));
    const storeLoadAgesMs = this.#storeLoadAgesMs(nowMs);
    const { isBusy } = this.#holding;
    return { models, adapters, isBusy, leaving, storeLoadAgesMs, loading };
  }

  #storeLoadAgesMs(nowMs: number): Record<string, number> {
    this.#storeLoadsMs.forEach((startMs, model) => {
      if (nowMs > startMs + STORE_LOAD_MEMORY_MS) this.#storeLoadsMs.delete(model);
    });
    const started = [...this.#storeLoadsMs].map(([model, startMs]) => [model, nowMs - startMs]);
    const next = this.#move?.load;
    const isToCome = next !== undefined && this.#isFromStore(next);
    return { ...(isToCome && { [next]: 0 }), ...Object.fromEntries(started) };
  }

  #isFromStore(model: string): boolean {
    const { hostModels, diskModels } = this.#endpoint.record;
    return !hostModels.includes(model) && !diskModels.includes(model);
  }

  /** Whether the engine's models are being changed. */
  get isMoving(): boolean {
    return this.#move !== undefined || this.#holding.isBusy;
  }

  /** Whether a report has told what the engine holds. */
  get isKnown(): boolean {
    return this.#holding.orderCount !== undefined;
  }

  /** Goes on with what is under way. */
  tick(): void {
    const { nowMs, token } = this.#context;
    if (token() === undefined || this.#queuedCount > 0) return;
    const needsReport = !this.isKnown || this.#isChangeDue();
    if (needsReport && nowMs() >= this.#nextReportMs) {
      void this.#enqueue(() => this.#readReport());
      return;
    }
    const { doubt } = this.#holding;
    if (this.isKnown && doubt && nowMs() > this.#lastOrderMs + REPORT_LAG_MS) {
      void this.#enqueue(() => this.#order(doubt));
      return;
    }
    if (this.isKnown && this.#move && !this.#holding.isBusy) void this.#enqueue(() => this.#goOn());
  }

  /** @param move - models to change; refused while another change is under way */
  begin(move: EngineMove): boolean {
    if (this.isMoving || !this.isKnown) return false;
    this.#move = move;
    const nowMs = this.#context.nowMs();
    move.unload.forEach((model) => this.#leaving.set(model, nowMs + LEAVING_NOTICE_MS));
    return true;
  }

  /** Notes adapters that requests used. */
  used(items: readonly string[]): void {
    const nowMs = this.#context.nowMs();
    items.forEach((item) => {
      const [model, adapter] = item.split('/');
      this.#holding.used(model, adapter, nowMs);
    });
  }

  /**
   * Loads an adapter, making a place for it if need be.
   *
   * @param model - the adapter's model
   * @param adapter - the adapter
   * @param wasDenied - whether the engine denied having it
   * @returns whether it can serve now
   */
  async prepare(model: string, adapter: string, wasDenied: boolean): Promise<boolean> {
    if (this.#context.token() === undefined || !this.isKnown || this.#holding.isBusy) return false;
    const known = this.#holding.hasAdapter(model, adapter);
    if (known === 'ready' && !wasDenied) return true;
    if (known === 'ready') this.#holding.lacks(model, adapter);
    await this.#enqueue(() => this.#loadAdapter(model, adapter));
    if (this.#holding.hasAdapter(model, adapter) === 'in-flight') {
      await sleep(ADAPTER_ARRIVAL_MS);
      this.#holding.arrived(model, adapter);
    }
    return this.#holding.hasAdapter(model, adapter) === 'ready';
  }

  async #loadAdapter(model: string, adapter: string): Promise<void> {
    if (this.#holding.hasAdapter(model, adapter)) return;
    const load: EngineOrder = { action: 'load', model, adapter };
    if (this.#holding.adapterCount >= this.#spec.adapterSlotCount) {
      const victim = this.#holding.adapterVictim(this.#context.nowMs() - ADAPTER_IDLE_MS);
      if (!victim) return;
      await this.#order(victim);
    }
    await this.#order(load);
  }

  // Unloads first what has had its notice, one at a time, then loads.
  async #goOn(): Promise<void> {
    const move = this.#move as EngineMove;
    const nowMs = this.#context.nowMs();
    const next = move.unload.find((model) => this.#holding.models.includes(model));
    if (next === undefined) {
      await this.#load(move.load);
      return;
    }
    if (nowMs < (this.#leaving.get(next) ?? 0)) return;
    const outcome = await this.#order({ action: 'unload', model: next });
    if (outcome === OrderOutcome.refused) this.#drop();
  }

  async #load(model: string): Promise<void> {
    const loadMs = this.#loadMs(model);
    if (this.#isFromStore(model)) this.#storeLoadsMs.set(model, this.#context.nowMs());
    const outcome = await this.#order({ action: 'load', model });
    if (outcome === OrderOutcome.accepted) {
      this.#loadDoneMs.set(model, this.#context.nowMs() + loadMs);
    }
    // A conflict is followed by a report, after which the move is tried once more.
    if (outcome !== OrderOutcome.conflict) this.#drop();
  }

  #loadMs(model: string): number {
    const spec = this.#spec.models.get(model);
    return spec ? loadTimeMs(this.#endpoint.record, spec) : 0;
  }

  #drop(): void {
    this.#move = undefined;
    this.#leaving.clear();
  }

  // The list tells late of a model that was loaded or unloaded; the engine itself knows sooner.
  #isChangeDue(): boolean {
    if (!this.#holding.isBusy) return false;
    const nowMs = this.#context.nowMs();
    return [...this.#loadDoneMs.values()].every((doneMs) => nowMs > doneMs);
  }

  async #readReport(): Promise<void> {
    const { calls, nowMs, logger } = this.#context;
    this.#nextReportMs = nowMs() + REPORT_PAUSE_MS;
    const sinceOrderMs = nowMs() - this.#lastOrderMs;
    if (sinceOrderMs < REPORT_LAG_MS) {
      this.#nextReportMs = nowMs() + REPORT_LAG_MS - sinceOrderMs;
      return;
    }
    try {
      const report = await calls.report(this.#endpoint.record);
      if (!this.#holding.adopt(report, nowMs())) return;
      this.#loadDoneMs.forEach((_, model) => {
        if (this.#holding.modelsIn('loading').includes(model)) return;
        this.#loadDoneMs.delete(model);
        this.#endpoint.gained(model);
      });
      logger.info('engine_reported', 'took an engine’s report', {
        endpoint: this.#endpoint.id,
        orders: report.orderCount,
        busy: report.isBusy,
        models: report.models.map(({ name }) => name),
      });
    } catch (error) {
      logger.info('report_missing', 'an engine gave no report', {
        endpoint: this.#endpoint.id,
        error: (error as Error).message,
      });
    }
  }

  async #order(order: EngineOrder): Promise<OrderOutcome> {
    const { calls, instance, nowMs, token, logger, onOrder } = this.#context;
    const objection = this.#holding.objection(order);
    if (objection !== undefined) {
      logger.info('order_withheld', objection, { endpoint: this.#endpoint.id, ...order });
      return OrderOutcome.refused;
    }
    let outcome: OrderOutcome = OrderOutcome.unknown;
    for (let repeat = 0; repeat <= ORDER_REPEAT_MAX; repeat += 1) {
      // The lease is checked right before each sending: it may have lapsed while this waited.
      const fencingToken = token();
      const orderCount = this.#holding.orderCount as number;
      if (fencingToken === undefined) break;
      if (repeat === 0) this.#holding.sent(order, nowMs());
      const grounds = { owner: instance, token: fencingToken, orderCount };
      // eslint-disable-next-line no-await-in-loop
      outcome = await calls.order(this.#endpoint.record, order, grounds);
      this.#lastOrderMs = nowMs();
      onOrder(outcome);
      logger.info('order', `an order was ${outcome}`, {
        endpoint: this.#endpoint.id,
        ...order,
        ...grounds,
        repeat,
      });
      if (outcome !== OrderOutcome.unknown) break;
    }
    this.#holding.answered(order, outcome);
    return outcome;
  }

  #enqueue<T>(task: () => Promise<T>): Promise<T> {
    this.#queuedCount += 1;
    const run = this.#queue.then(task);
    this.#queue = run
      .catch((error: Error) => {
        const fields = { endpoint: this.#endpoint.id, error: error.message };
        this.#context.logger.error('owner_fault', 'a step of an engine’s owner failed', fields);
      })
      .finally(() => {
        this.#queuedCount -= 1;
      });
    return run;
  }
}
