import type { EngineSpec, ModelSpec } from '@chervilseam/model';
import type { EngineOrder } from './engine-order.js';
import type { EngineStateReport } from './engine-state-report.js';
import { OrderOutcome } from './order-outcome.js';

/** Memory that is kept free on an engine, in megabytes: reported sizes are rounded. */
const RESERVED_MB = 1;
/** Longest time from sending an order until the engine accepts it, in milliseconds. */
const UNCONFIRMED_ORDER_MS = 15_000;
/** Largest number of adapters that one engine may be loading at a time. */
const ADAPTERS_LOADING_MAX = 4;

interface AdapterEntry {
  /** Time of the last request that used it, in milliseconds. */
  usedMs: number;
  /**
   * Every adapter takes a slot: one that is `leaving` may still be in use, and one that the engine denied
   * to have may be on its way there.
   */
  state: 'in-flight' | 'ready' | 'leaving' | 'denied';
  /** Whether only an order that has not been confirmed accounts for it: it goes if that order does. */
  isUnconfirmed?: boolean;
}

/** States of adapters that may be unloaded to free a slot. */
const evictableStates: ReadonlySet<AdapterEntry['state']> = new Set(['ready', 'denied']);

interface ModelEntry {
  readonly adapters: Map<string, AdapterEntry>;
  state: 'loading' | 'ready' | 'leaving';
}

/**
 * The models and adapters on one engine, as its owner accounts for them. Whatever an order may
 * still load stays accounted for until an answer or a report rules it out, so that the engine's
 * memory is never overcommitted.
 *
 * Every order carries the number of orders that the engine had accepted before it, and the engine
 * accepts only an order whose number is the present one. An order without an answer is unconfirmed:
 * it may still be accepted, but only until the engine accepts another order.
 */
export class EngineInventory {
  #spec: EngineSpec;
  /** Models of former configurations that the present one does not name: engines may still hold them. */
  readonly #formerModels = new Map<string, ModelSpec>();
  readonly #models = new Map<string, ModelEntry>();
  /** Number of orders that the engine has accepted; `undefined` while it isn't known. */
  #orderCount: number | undefined;
  /**
   * Least number of orders that the engine has accepted; a report with a lower number is outdated.
   */
  #orderCountMin = 0;
  /**
   * Orders of which a copy had no answer. All carry the same order count, so at most one of them can
   * take effect.
   */
  #unconfirmed: EngineOrder[] = [];
  /** Number of orders that the engine has to have accepted for one of them to take effect. */
  #unconfirmedCount: number | undefined;
  /** Whether the engine loads or unloads a model that this inventory doesn't know of. */
  #isChangingUnknownModel = false;
  /** Time of the latest sending of an order, and of the latest one without an answer, in milliseconds. */
  #lastSentMs = 0;
  #unansweredMs = 0;

  /** @param spec - the engine's memory, slots and models */
  constructor(spec: EngineSpec) {
    this.#spec = spec;
  }

  /**
   * Number of orders that the engine has accepted, which the next order must carry; `undefined`
   * until the first report, and again after a refused or conflicting order until the next report.
   */
  get orderCount(): number | undefined {
    return this.#orderCount;
  }

  /** @param spec - the engine's memory, slots and models by a newer configuration */
  updateSpec(spec: EngineSpec): void {
    this.#spec.models.forEach((model, name) => this.#formerModels.set(name, model));
    spec.models.forEach((_, name) => this.#formerModels.delete(name));
    this.#spec = spec;
  }

  /** The latest unconfirmed order. */
  get unconfirmedOrder(): EngineOrder | undefined {
    return this.#unconfirmed.at(-1);
  }

  /** Models that are resident or being loaded or unloaded. */
  get models(): readonly string[] {
    return [...this.#models.keys()];
  }

  /** Whether a model is being loaded or unloaded. */
  get isBusy(): boolean {
    return (
      this.#isChangingUnknownModel ||
      [...this.#models.values()].some(({ state }) => state !== 'ready')
    );
  }

  /** @returns names of the models in a state */
  modelsIn(state: ModelEntry['state']): string[] {
    return [...this.#models].flatMap(([name, entry]) => (entry.state === state ? [name] : []));
  }

  /** Adapters that can serve, each as `MODEL/ADAPTER`. */
  get readyAdapters(): readonly string[] {
    return [...this.#models].flatMap(([name, { adapters, state }]) => {
      if (state !== 'ready') return [];
      const ready = [...adapters].filter(([, adapter]) => adapter.state === 'ready');
      return ready.map(([adapter]) => `${name}/${adapter}`);
    });
  }

  /** Whether the engine has accepted to unload an adapter and no report has shown that it is gone. */
  get hasLeavingAdapters(): boolean {
    return this.#adapterEntries.some(({ entry }) => entry.state === 'leaving');
  }

  /** Number of adapters that are resident, or being loaded or unloaded; each uses a slot. */
  get adapterCount(): number {
    return this.#adapterEntries.length;
  }

  /**
   * Most memory that the engine can come to use, unconfirmed loads included, in megabytes; Infinity if it
   * holds a model whose size is not known.
   */
  get memoryMb(): number {
    return [...this.#models].reduce((sum, [name, { adapters }]) => {
      const spec = this.#spec.models.get(name) ?? this.#formerModels.get(name);
      return sum + (spec ? spec.sizeMb + adapters.size * spec.adapterMb : Infinity);
    }, 0);
  }

  /**
   * Replaces the inventory by a report, unless the report is older than an order that the engine
   * has accepted.
   *
   * @param report - the report
   * @param nowMs - current time of a monotonic clock, in milliseconds
   * @returns whether the report was used
   */
  applyReport(report: EngineStateReport, nowMs: number): boolean {
    if (report.orderCount < this.#orderCountMin) return false;
    this.#orderCountMin = report.orderCount;
    // While the engine's order count is unchanged, an unconfirmed order may still be accepted.
    const mayStillTakeEffect =
      report.orderCount === this.#unconfirmedCount &&
      nowMs < this.#unansweredMs + UNCONFIRMED_ORDER_MS;
    const unconfirmed = mayStillTakeEffect ? this.#unconfirmed : [];
    this.#orderCount = report.orderCount;
    this.#unconfirmed = unconfirmed;
    const known = new Map(this.#models);
    this.#models.clear();
    report.models.forEach(({ name, adapters }) => {
      const entries = adapters.map((adapter) => {
        const entry = known.get(name)?.adapters.get(adapter);
        const isLeaving = report.isBusy && entry?.state === 'leaving';
        const state: AdapterEntry['state'] = isLeaving ? 'leaving' : 'ready';
        return [adapter, { usedMs: entry?.usedMs ?? nowMs, state }] as const;
      });
      this.#models.set(name, { adapters: new Map(entries), state: 'ready' });
    });
    report.pendingAdapters.forEach(({ model, adapter }) => {
      const entry = this.#models.get(model);
      entry?.adapters.set(adapter, { usedMs: nowMs, state: 'in-flight' });
    });
    unconfirmed.forEach((pending) => this.#reserve(pending, nowMs));
    // A report says that the engine is loading or unloading a model, but not which one.
    this.#isChangingUnknownModel = false;
    if (!report.isBusy) return true;
    known.forEach((entry, name) => {
      if (entry.state === 'loading' && !this.#models.has(name)) this.#models.set(name, entry);
      const listed = this.#models.get(name);
      if (entry.state === 'leaving' && listed) listed.state = 'leaving';
    });
    // A previous owner may have ordered the load: the engine may have less free memory than the
    // report shows.
    this.#isChangingUnknownModel = !this.isBusy;
    return true;
  }

  /**
   * @param order - an order that is to be sent next
   * @returns why the order must not be sent, or `undefined` when it may be sent
   */
  withholdReason(order: EngineOrder): string | undefined {
    const entry = this.#models.get(order.model);
    if (this.#orderCount === undefined) return 'the engine has not reported yet';
    // An order that is sent again is accounted for already.
    if (this.#unconfirmed.includes(order)) return undefined;
    if (order.adapter !== undefined) return this.#adapterWithholdReason(order, entry);
    if (this.isBusy) return 'another model is being loaded or unloaded';
    if (order.action === 'unload') return entry ? undefined : 'the model is not resident';
    if (entry) return 'the model is already resident';
    const sizeMb = this.#spec.models.get(order.model)?.sizeMb ?? Infinity;
    const hasMemory = this.memoryMb + sizeMb + RESERVED_MB <= this.#spec.memoryMb;
    return hasMemory ? undefined : 'not enough memory';
  }

  /**
   * Accounts for an order. To be called before its first byte is sent.
   *
   * @param order - the order
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  recordSent(order: EngineOrder, nowMs: number): void {
    this.#lastSentMs = nowMs;
    // An order that is sent again is accounted for already.
    if (!this.#unconfirmed.includes(order)) this.#reserve(order, nowMs);
  }

  /**
   * Updates the inventory by the answer to an order.
   *
   * @param order - the order
   * @param outcome - outcome of the order according to the answer
   */
  applyOutcome(order: EngineOrder, outcome: OrderOutcome): void {
    const handlers: Record<OrderOutcome, () => void> = {
      // Once the engine has accepted this order, it can accept no other unconfirmed one.
      [OrderOutcome.accepted]: () => {
        this.#countAcceptedOrder();
        this.#settleUnconfirmed(order);
        this.#confirmReservation(order);
        this.#applyAdapterUnload(order);
      },
      [OrderOutcome.holds]: () => {
        if (order.action === 'unload' && order.adapter !== undefined) this.#countUnload(order);
        else this.#unconfirmed = this.#unconfirmed.filter((pending) => pending !== order);
        this.#confirm(order);
      },
      [OrderOutcome.conflict]: () => this.#applyNotTaken(order),
      [OrderOutcome.refused]: () => this.#applyNotTaken(order),
      [OrderOutcome.unknown]: () => {
        if (!this.#unconfirmed.includes(order)) this.#unconfirmed.push(order);
        this.#unconfirmedCount = this.#orderCount;
        this.#unansweredMs = this.#lastSentMs;
      },
    };
    handlers[outcome]();
  }

  /**
   * Marks an adapter as ready to serve.
   *
   * @param model - the adapter's model
   * @param adapter - an adapter
   */
  markAdapterReady(model: string, adapter: string): void {
    const entry = this.#models.get(model)?.adapters.get(adapter);
    if (entry?.state === 'in-flight') entry.state = 'ready';
  }

  /**
   * Records that the engine denied to have an adapter, so that it may be loaded again. It stays accounted
   * for, since it may be on its way to the engine.
   *
   * @param model - the adapter's model
   * @param adapter - an adapter
   */
  markAdapterDenied(model: string, adapter: string): void {
    const entry = this.#models.get(model)?.adapters.get(adapter);
    if (entry?.state === 'ready') entry.state = 'denied';
  }

  /** @returns whether an adapter takes a slot, whatever its state */
  holdsSlot(model: string, adapter: string): boolean {
    return this.#models.get(model)?.adapters.has(adapter) === true;
  }

  /** Records that a request uses an adapter. */
  recordAdapterUse(model: string, adapter: string, nowMs: number): void {
    const entry = this.#models.get(model)?.adapters.get(adapter);
    if (entry) entry.usedMs = nowMs;
  }

  /**
   * @returns state of an adapter on the engine, or `undefined` when it neither serves requests nor is
   *   being loaded
   */
  adapterState(model: string, adapter: string): 'ready' | 'in-flight' | undefined {
    const entry = this.#models.get(model)?.adapters.get(adapter);
    return entry?.state === 'ready' || entry?.state === 'in-flight' ? entry.state : undefined;
  }

  /**
   * @param idleBeforeMs - adapters used at this time or later are kept, in milliseconds
   * @returns the order that unloads the least recently used idle adapter, or `undefined` when none
   *   is idle
   */
  idleAdapterUnload(idleBeforeMs: number): EngineOrder | undefined {
    const [oldest] = this.#adapterEntries
      .filter(({ entry }) => evictableStates.has(entry.state) && entry.usedMs < idleBeforeMs)
      .sort((left, right) => left.entry.usedMs - right.entry.usedMs);
    return oldest && { action: 'unload', model: oldest.model, adapter: oldest.adapter };
  }

  get #adapterEntries(): { model: string; adapter: string; entry: AdapterEntry }[] {
    return [...this.#models].flatMap(([model, { adapters }]) =>
      [...adapters].map(([adapter, entry]) => ({ model, adapter, entry })),
    );
  }

  #adapterWithholdReason({ action, model, adapter }: EngineOrder, entry: ModelEntry | undefined) {
    if (entry?.state !== 'ready') return 'the adapter’s model is not ready';
    if (this.isBusy) return 'a model is being loaded or unloaded';
    const known = entry.adapters.get(adapter as string);
    if (action === 'unload') return known ? undefined : 'the adapter is not resident';
    if (known?.state === 'leaving') return 'the adapter is being unloaded';
    if (known && known.state !== 'denied') return 'the adapter is already resident';
    // A denied adapter is accounted for already.
    const roomReason = known ? undefined : this.#roomReason(model);
    if (roomReason !== undefined) return roomReason;
    const inFlight = this.#adapterEntries.filter((one) => one.entry.state === 'in-flight').length;
    if (inFlight >= ADAPTERS_LOADING_MAX) return 'too many adapters are loading';
    return undefined;
  }

  #roomReason(model: string): string | undefined {
    const adapterMb = this.#spec.models.get(model)?.adapterMb ?? Infinity;
    if (this.memoryMb + adapterMb + RESERVED_MB > this.#spec.memoryMb) return 'not enough memory';
    const hasSlot = this.adapterCount < this.#spec.adapterSlotCount;
    return hasSlot ? undefined : 'all adapter slots are taken';
  }

  // Accounts for what an order may do once the engine accepts it.
  #reserve({ action, model, adapter }: EngineOrder, nowMs: number): void {
    const entry = this.#models.get(model);
    if (action === 'unload') {
      if (adapter === undefined && entry) entry.state = 'leaving';
      return;
    }
    if (adapter === undefined) {
      this.#models.set(model, { adapters: new Map(), state: 'loading' });
      return;
    }
    const known = entry?.adapters.get(adapter);
    const isUnconfirmed = known === undefined || known.isUnconfirmed === true;
    entry?.adapters.set(adapter, { usedMs: nowMs, state: 'in-flight', isUnconfirmed });
  }

  // The engine did not take this copy of the order; an earlier copy without an answer may still take effect.
  #applyNotTaken(order: EngineOrder): void {
    if (!this.#unconfirmed.includes(order)) this.#undo(order);
    this.#orderCount = undefined;
  }

  // An engine that unloads an adapter at once counts the order, and one that did not have it gives the same
  // answer and does not count it. Where it is not certain which, the next order waits for a report.
  #countUnload({ model, adapter = '' }: EngineOrder): void {
    const entry = this.#models.get(model)?.adapters.get(adapter);
    const wasHeld = entry !== undefined && entry.state !== 'denied' && !entry.isUnconfirmed;
    if (wasHeld && this.#unconfirmed.length === 0) this.#countAcceptedOrder();
    else this.#orderCount = undefined;
  }

  // The order has taken effect, so its adapter no longer depends on it.
  #confirmReservation({ action, model, adapter }: EngineOrder): void {
    const entry = this.#models.get(model)?.adapters.get(adapter ?? '');
    if (entry && action === 'load') entry.isUnconfirmed = false;
  }

  #countAcceptedOrder(): void {
    this.#orderCountMin += 1;
    this.#orderCount = this.#orderCountMin;
  }

  // Drops all unconfirmed orders after the engine has accepted `order`: the others were not carried
  // out and cannot be accepted any more.
  #settleUnconfirmed(order: EngineOrder): void {
    const unconfirmed = this.#unconfirmed;
    this.#unconfirmed = [];
    unconfirmed
      .filter(({ model, adapter }) => model !== order.model || adapter !== order.adapter)
      .forEach((pending) => this.#undo(pending));
  }

  // The engine has accepted to unload the adapter, and holds it while requests use it.
  #applyAdapterUnload({ action, model, adapter }: EngineOrder): void {
    if (action !== 'unload' || adapter === undefined) return;
    const entry = this.#models.get(model)?.adapters.get(adapter);
    if (entry) entry.state = 'leaving';
  }

  // The engine answered that the ordered state is in effect already.
  #confirm({ action, model, adapter }: EngineOrder): void {
    if (adapter !== undefined) {
      if (action === 'load') this.markAdapterReady(model, adapter);
      else this.#models.get(model)?.adapters.delete(adapter);
      return;
    }
    if (action === 'unload') {
      this.#models.delete(model);
      return;
    }
    const entry = this.#models.get(model);
    if (entry) entry.state = 'ready';
  }

  // Reverts the accounting of an order that was not carried out.
  #undo({ action, model, adapter }: EngineOrder): void {
    if (action === 'unload') {
      const entry = this.#models.get(model);
      if (adapter === undefined && entry?.state === 'leaving') entry.state = 'ready';
      return;
    }
    const entry = this.#models.get(model)?.adapters.get(adapter ?? '');
    if (entry?.isUnconfirmed) this.#models.get(model)?.adapters.delete(adapter ?? '');
    else if (entry) entry.state = 'denied';
    else if (this.#models.get(model)?.state === 'loading') this.#models.delete(model);
  }
}
