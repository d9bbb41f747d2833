import { EngineInventory, OrderOutcome } from '@chervilseam/decisions';
import type { EngineOrder, EngineStateReport } from '@chervilseam/decisions';
import type { EngineSpec } from '@chervilseam/model';

/** What becomes of one sending of an order. */
export type Delivery = 'answered' | 'answer lost' | 'late' | 'lost';

/** Longest time until a late order is carried out, and until reports show it, in milliseconds. */
const LATE_MAX_MS = 12_000;
const REPORT_LAG_MAX_MS = 240;
/** Number of times that an owner sends an order again that was not answered. */
const REPEAT_MAX = 2;
/** Time from an unanswered sending to the next, and of an answered one, in milliseconds. */
const TIMEOUT_MS = 500;
const ANSWER_MS = 3;

interface LateOrder {
  readonly order: EngineOrder;
  readonly expectedCount: number;
  readonly untilMs: number;
}

/**
 * An engine that counts what it was ordered to hold, and owners that order it through an
 * `EngineInventory` while orders, answers and reports are lost or late.
 */
export class OrderWorld {
  /** Orders that the engine accepted although it had no room for them. */
  readonly violations: string[] = [];
  readonly #engineSpec: EngineSpec;
  #spec: EngineSpec;
  #nowMs = 0;
  #orderCount = 0;
  #models = new Map<string, Set<string>>();
  #loading: string | undefined;
  /** Adapters that are unloaded when no request uses them any more, as MODEL/ADAPTER. */
  readonly #leaving = new Set<string>();
  readonly #inUse = new Set<string>();
  #late: LateOrder[] = [];
  #reports: { readonly atMs: number; readonly report: EngineStateReport }[] = [];
  #inventory: EngineInventory;

  /**
   * @param spec - the engine's memory and slots, and all models
   * @param models - what the engine holds at the beginning
   */
  constructor(spec: EngineSpec, models: readonly string[]) {
    this.#engineSpec = spec;
    this.#spec = spec;
    models.forEach((model) => this.#models.set(model, new Set()));
    this.#inventory = new EngineInventory(spec);
    this.#snapshot();
  }

  /** Lets time pass: late orders whose time is up are dropped. */
  wait(durationMs: number): void {
    this.#nowMs += durationMs;
    this.#late = this.#late.filter(({ untilMs }) => this.#nowMs <= untilMs);
    this.#snapshot();
  }

  /** Gives the owner a report, which may be older than the engine's state. */
  report(lagMs: number): void {
    const atMs = this.#nowMs - Math.min(lagMs, REPORT_LAG_MAX_MS);
    const shown = this.#reports.filter((entry) => entry.atMs <= atMs).at(-1) ?? this.#reports[0];
    this.#inventory.applyReport(shown.report, this.#nowMs);
  }

  /** Has the owner give an order, as `EngineOwner` does, unless its inventory withholds it. */
  order(order: EngineOrder, deliveries: readonly Delivery[]): void {
    if (this.#inventory.withholdReason(order) !== undefined) return;
    this.#send(order, deliveries);
    const { model, adapter } = order;
    if (order.action === 'load' && adapter !== undefined) {
      this.#inventory.markAdapterReady(model, adapter);
    }
  }

  /** Has the owner send an order again that was not answered. */
  repeat(deliveries: readonly Delivery[]): void {
    const { unconfirmedOrder, orderCount } = this.#inventory;
    if (unconfirmedOrder && orderCount !== undefined) this.#send(unconfirmedOrder, deliveries);
  }

  /** Has the owner make room for an adapter and load it. */
  swapAdapter(model: string, adapter: string, deliveries: readonly Delivery[]): void {
    if (this.#inventory.adapterCount >= this.#spec.adapterSlotCount) {
      const unload = this.#inventory.idleAdapterUnload(Infinity);
      if (unload) this.order(unload, deliveries);
      if (this.#inventory.hasLeavingAdapters) return;
    }
    this.order({ action: 'load', model, adapter }, deliveries);
  }

  /** A request shows that the engine lacks an adapter that the owner counts as ready. */
  request(model: string, adapter: string): void {
    if (this.#models.get(model)?.has(adapter)) return;
    this.#inventory.markAdapterDenied(model, adapter);
  }

  /** Begins or ends the use of an adapter. */
  toggleUse(model: string, adapter: string): void {
    const item = `${model}/${adapter}`;
    if (!this.#inUse.delete(item)) this.#inUse.add(item);
    else if (this.#leaving.delete(item)) this.#models.get(model)?.delete(adapter);
    this.#snapshot();
  }

  /** Carries out one of the late orders. */
  deliverLate(index: number): void {
    if (this.#late.length === 0) return;
    const [late] = this.#late.splice(index % this.#late.length, 1);
    this.#receive(late.order, late.expectedCount);
  }

  /** Completes the load of a model. */
  finishLoad(): void {
    this.#loading = undefined;
    this.#snapshot();
  }

  /** Another instance takes the engine over: it knows only what reports show. */
  handOver(): void {
    this.#inventory = new EngineInventory(this.#spec);
  }

  /** A new configuration names other models; the engine keeps what it holds. */
  configure(names: readonly string[]): void {
    const models = [...this.#engineSpec.models].filter(([name]) => names.includes(name));
    this.#spec = { ...this.#engineSpec, models: new Map(models) };
    this.#inventory.updateSpec(this.#spec);
  }

  #send(order: EngineOrder, deliveries: readonly Delivery[]): void {
    const expectedCount = this.#inventory.orderCount as number;
    this.#inventory.recordSent(order, this.#nowMs);
    for (let repeat = 0; repeat <= REPEAT_MAX; repeat += 1) {
      const delivery = deliveries[repeat % deliveries.length];
      const outcome = this.#deliver(order, expectedCount, delivery);
      this.wait(outcome === OrderOutcome.unknown ? TIMEOUT_MS : ANSWER_MS);
      this.#inventory.applyOutcome(order, outcome);
      if (outcome !== OrderOutcome.unknown) return;
    }
  }

  #deliver(order: EngineOrder, expectedCount: number, delivery: Delivery): OrderOutcome {
    if (delivery === 'late') {
      this.#late.push({ order, expectedCount, untilMs: this.#nowMs + LATE_MAX_MS });
    }
    if (delivery === 'late' || delivery === 'lost') return OrderOutcome.unknown;
    const outcome = this.#receive(order, expectedCount);
    return delivery === 'answered' ? outcome : OrderOutcome.unknown;
  }

  #receive(order: EngineOrder, expectedCount: number): OrderOutcome {
    const { action, model, adapter } = order;
    if (expectedCount !== this.#orderCount || this.#loading !== undefined) {
      return OrderOutcome.conflict;
    }
    const outcome =
      adapter === undefined
        ? this.#receiveModelOrder(action, model)
        : this.#receiveAdapterOrder(action, model, adapter);
    this.#checkRoom(order);
    this.#snapshot();
    return outcome;
  }

  #receiveModelOrder(action: EngineOrder['action'], model: string): OrderOutcome {
    const isHeld = this.#models.has(model);
    if (isHeld === (action === 'load')) return OrderOutcome.holds;
    this.#orderCount += 1;
    if (action === 'unload') {
      this.#models.delete(model);
      return OrderOutcome.accepted;
    }
    this.#models.set(model, new Set());
    this.#loading = model;
    return OrderOutcome.accepted;
  }

  #receiveAdapterOrder(
    action: EngineOrder['action'],
    model: string,
    adapter: string,
  ): OrderOutcome {
    const adapters = this.#models.get(model);
    if (!adapters) return OrderOutcome.refused;
    if (adapters.has(adapter) === (action === 'load')) return OrderOutcome.holds;
    this.#orderCount += 1;
    if (action === 'load') {
      adapters.add(adapter);
      return OrderOutcome.accepted;
    }
    if (this.#inUse.has(`${model}/${adapter}`)) {
      this.#leaving.add(`${model}/${adapter}`);
      return OrderOutcome.accepted;
    }
    // An adapter that is not in use is unloaded at once.
    adapters.delete(adapter);
    return OrderOutcome.holds;
  }

  #checkRoom(order: EngineOrder): void {
    const { memoryMb, adapterSlotCount, models } = this.#engineSpec;
    const adapterCount = [...this.#models.values()].reduce((sum, { size }) => sum + size, 0);
    const usedMb = [...this.#models].reduce((sum, [name, { size }]) => {
      const { sizeMb = 0, adapterMb = 0 } = models.get(name) ?? {};
      return sum + sizeMb + size * adapterMb;
    }, 0);
    if (adapterCount > adapterSlotCount || usedMb > memoryMb) {
      this.violations.push(`${JSON.stringify(order)}: ${adapterCount} adapters, ${usedMb} MB`);
    }
  }

  #snapshot(): void {
    const models = [...this.#models].flatMap(([name, adapters]) =>
      name === this.#loading ? [] : [{ name, adapters: [...adapters] }],
    );
    const report = {
      orderCount: this.#orderCount,
      isBusy: this.#loading !== undefined,
      models,
      pendingAdapters: [],
    };
    this.#reports = [...this.#reports.slice(-50), { atMs: this.#nowMs, report }];
  }
}
