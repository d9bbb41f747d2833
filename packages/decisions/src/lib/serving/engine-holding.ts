import type { EngineSpec } from '@chervilseam/model';
import type { EngineOrder } from './engine-order.js';
import type { EngineStateReport } from './engine-state-report.js';
import { OrderOutcome } from './order-outcome.js';

/** Memory that is kept free on an engine, in megabytes: sizes are rounded on the way here. */
const MEMORY_MARGIN_MB = 1;
/** An order without an answer is carried out this late at most, in milliseconds. */
const DOUBT_MS = 15_000;
/** Adapters that may be on their way to one engine at a time; a count. */
const ADAPTERS_IN_FLIGHT_MAX = 4;

interface HeldAdapter {
  /** When a request last used it, in milliseconds. */
  usedMs: number;
  isInFlight: boolean;
}

interface HeldModel {
  readonly adapters: Map<string, HeldAdapter>;
  state: 'loading' | 'ready' | 'leaving';
}

/**
 * What one engine holds, as its owner counts it: everything that any order may still bring stays
 * counted until an answer or a report shows that it cannot, so the engine is never overcommitted.
 *
 * Every order names the number of orders taken before it. An order without an answer can therefore
 * be carried out only as long as no other order has been taken.
 */
export class EngineHolding {
  readonly #spec: EngineSpec;
  readonly #models = new Map<string, HeldModel>();
  #orderCount: number | undefined;
  /** Orders that the engine is known to have taken: a report of fewer is older than that. */
  #orderCountMin = 0;
  /** Orders without an answer; at most one of them can be carried out, as all name one count. */
  #doubts: EngineOrder[] = [];
  /** Whether the engine loads or unloads a model that nothing here tells of. */
  #isChangingElse = false;
  #doubtMs = 0;

  /** @param spec - what the engine can do */
  constructor(spec: EngineSpec) {
    this.#spec = spec;
  }

  /** Orders taken so far, which the next order names; `undefined` until a report told. */
  get orderCount(): number | undefined {
    return this.#orderCount;
  }

  /** The latest order without an answer that may still be carried out. */
  get doubt(): EngineOrder | undefined {
    return this.#doubts.at(-1);
  }

  /** Models that the engine holds or is getting. */
  get models(): readonly string[] {
    return [...this.#models.keys()];
  }

  /** Whether a model is being loaded or unloaded. */
  get isBusy(): boolean {
    return (
      this.#isChangingElse || [...this.#models.values()].some(({ state }) => state !== 'ready')
    );
  }

  /** @returns models in a state */
  modelsIn(state: HeldModel['state']): string[] {
    return [...this.#models].flatMap(([name, held]) => (held.state === state ? [name] : []));
  }

  /** Adapters that can serve, as model and adapter. */
  get readyAdapters(): readonly string[] {
    return [...this.#models].flatMap(([name, { adapters, state }]) => {
      if (state !== 'ready') return [];
      const ready = [...adapters].filter(([, { isInFlight }]) => !isInFlight);
      return ready.map(([adapter]) => `${name}/${adapter}`);
    });
  }

  /** Adapters that take a place now; a count. */
  get adapterCount(): number {
    return this.#heldAdapters.length;
  }

  /** Memory that the engine may come to use, whatever still arrives, in megabytes. */
  get memoryMb(): number {
    return [...this.#models].reduce((sum, [name, { adapters }]) => {
      const spec = this.#spec.models.get(name);
      return sum + (spec?.sizeMb ?? 0) + adapters.size * (spec?.adapterMb ?? 0);
    }, 0);
  }

  /**
   * Takes a report, unless it is older than an order that the engine has taken.
   *
   * @param report - the report
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns whether it was taken
   */
  adopt(report: EngineStateReport, nowMs: number): boolean {
    if (report.orderCount < this.#orderCountMin) return false;
    this.#orderCountMin = report.orderCount;
    // An order without an answer that the engine has not counted may still be carried out.
    const mayStillArrive =
      report.orderCount === this.#orderCount && nowMs < this.#doubtMs + DOUBT_MS;
    const doubts = mayStillArrive ? this.#doubts : [];
    this.#orderCount = report.orderCount;
    this.#doubts = doubts;
    const known = new Map(this.#models);
    this.#models.clear();
    report.models.forEach(({ name, adapters }) => {
      const entries = adapters.map((adapter) => {
        const usedMs = known.get(name)?.adapters.get(adapter)?.usedMs ?? nowMs;
        return [adapter, { usedMs, isInFlight: false }] as const;
      });
      this.#models.set(name, { adapters: new Map(entries), state: 'ready' });
    });
    report.pendingAdapters.forEach(({ model, adapter }) => {
      const held = this.#models.get(model);
      held?.adapters.set(adapter, { usedMs: nowMs, isInFlight: true });
    });
    doubts.forEach((doubt) => this.#reserve(doubt, nowMs));
    // A busy engine is loading or unloading something that its report does not name.
    this.#isChangingElse = false;
    if (!report.isBusy) return true;
    known.forEach((held, name) => {
      if (held.state === 'loading' && !this.#models.has(name)) this.#models.set(name, held);
      const listed = this.#models.get(name);
      if (held.state === 'leaving' && listed) listed.state = 'leaving';
    });
    // An owner before may have ordered it: there may be less room than the report shows.
    this.#isChangingElse = !this.isBusy;
    return true;
  }

  /**
   * @param order - an order that may be sent next
   * @returns why it must not be sent, or `undefined` when it may
   */
  objection(order: EngineOrder): string | undefined {
    const held = this.#models.get(order.model);
    if (this.#orderCount === undefined) return 'no report yet';
    // Sent once more it does nothing that is not counted already.
    if (this.#doubts.includes(order)) return undefined;
    if (order.adapter !== undefined) return this.#adapterObjection(order, held);
    if (this.isBusy) return 'another model is being loaded or unloaded';
    if (order.action === 'unload') return held ? undefined : 'not resident';
    if (held) return 'resident already';
    const sizeMb = this.#spec.models.get(order.model)?.sizeMb ?? Infinity;
    const isRoom = this.memoryMb + sizeMb + MEMORY_MARGIN_MB <= this.#spec.memoryMb;
    return isRoom ? undefined : 'no room';
  }

  /**
   * Counts an order as sent, before its first byte leaves.
   *
   * @param order - the order
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  sent(order: EngineOrder, nowMs: number): void {
    this.#doubtMs = nowMs;
    // Sent once more, it is counted already.
    if (!this.#doubts.includes(order)) this.#reserve(order, nowMs);
  }

  /**
   * Takes an order's answer.
   *
   * @param order - the order
   * @param outcome - what its answer tells
   */
  answered(order: EngineOrder, outcome: OrderOutcome): void {
    const handlers: Record<OrderOutcome, () => void> = {
      // An order that was taken rules out the one before it that had no answer.
      [OrderOutcome.accepted]: () => {
        this.#count();
        this.#settleDoubts(order);
        this.#apply(order);
      },
      [OrderOutcome.holds]: () => {
        if (order.action === 'unload' && order.adapter !== undefined) {
          this.#count();
          this.#settleDoubts(order);
        }
        this.#confirm(order);
      },
      [OrderOutcome.conflict]: () => {
        this.#undo(order);
        this.#orderCount = undefined;
      },
      [OrderOutcome.refused]: () => {
        this.#undo(order);
        this.#orderCount = undefined;
      },
      [OrderOutcome.unknown]: () => {
        if (!this.#doubts.includes(order)) this.#doubts.push(order);
      },
    };
    handlers[outcome]();
  }

  /**
   * @param model - the adapter's model
   * @param adapter - an adapter
   */
  arrived(model: string, adapter: string): void {
    const held = this.#models.get(model)?.adapters.get(adapter);
    if (held) held.isInFlight = false;
  }

  /**
   * Forgets an adapter that the engine said it lacks.
   *
   * @param model - the adapter's model
   * @param adapter - an adapter
   */
  lacks(model: string, adapter: string): void {
    this.#models.get(model)?.adapters.delete(adapter);
  }

  /** Notes that requests use an adapter. */
  used(model: string, adapter: string, nowMs: number): void {
    const held = this.#models.get(model)?.adapters.get(adapter);
    if (held) held.usedMs = nowMs;
  }

  /** @returns whether the engine holds an adapter or is getting it */
  hasAdapter(model: string, adapter: string): 'ready' | 'in-flight' | undefined {
    const held = this.#models.get(model)?.adapters.get(adapter);
    if (!held) return undefined;
    return held.isInFlight ? 'in-flight' : 'ready';
  }

  /**
   * @param idleBeforeMs - adapters used since then stay
   * @returns the order that makes a place for an adapter, or `undefined` when none may go
   */
  adapterVictim(idleBeforeMs: number): EngineOrder | undefined {
    const [oldest] = this.#heldAdapters
      .filter(({ held }) => !held.isInFlight && held.usedMs < idleBeforeMs)
      .sort((left, right) => left.held.usedMs - right.held.usedMs);
    return oldest && { action: 'unload', model: oldest.model, adapter: oldest.adapter };
  }

  get #heldAdapters(): { model: string; adapter: string; held: HeldAdapter }[] {
    return [...this.#models].flatMap(([model, { adapters }]) =>
      [...adapters].map(([adapter, held]) => ({ model, adapter, held })),
    );
  }

  #adapterObjection({ action, model, adapter }: EngineOrder, held: HeldModel | undefined) {
    if (held?.state !== 'ready') return 'its model is not ready';
    if (this.isBusy) return 'a model is being loaded or unloaded';
    const isHeld = held.adapters.has(adapter as string);
    if (action === 'unload') return isHeld ? undefined : 'not resident';
    if (isHeld) return 'resident already';
    const adapterMb = this.#spec.models.get(model)?.adapterMb ?? Infinity;
    if (this.memoryMb + adapterMb + MEMORY_MARGIN_MB > this.#spec.memoryMb) return 'no room';
    if (this.adapterCount >= this.#spec.adapterSlotCount) return 'no place for an adapter';
    const inFlight = this.#heldAdapters.filter((one) => one.held.isInFlight).length;
    if (inFlight >= ADAPTERS_IN_FLIGHT_MAX) return 'too many adapters on their way';
    return undefined;
  }

  #reserve({ action, model, adapter }: EngineOrder, nowMs: number): void {
    const held = this.#models.get(model);
    if (action === 'unload') {
      if (adapter === undefined && held) held.state = 'leaving';
      return;
    }
    if (adapter === undefined) {
      this.#models.set(model, { adapters: new Map(), state: 'loading' });
      return;
    }
    const fresh = { usedMs: nowMs, isInFlight: true };
    held?.adapters.set(adapter, fresh);
  }

  #count(): void {
    this.#orderCountMin += 1;
    this.#orderCount = this.#orderCountMin;
  }

  // The orders before were not carried out and cannot be any more.
  #settleDoubts(order: EngineOrder): void {
    const doubts = this.#doubts;
    this.#doubts = [];
    doubts.filter((doubt) => doubt !== order).forEach((doubt) => this.#undo(doubt));
  }

  #apply({ action, model, adapter }: EngineOrder): void {
    if (action === 'unload' && adapter !== undefined) {
      this.#models.get(model)?.adapters.delete(adapter);
    }
  }

  #confirm({ action, model, adapter }: EngineOrder): void {
    if (adapter !== undefined) {
      if (action === 'load') this.arrived(model, adapter);
      else this.lacks(model, adapter);
      return;
    }
    if (action === 'unload') {
      this.#models.delete(model);
      return;
    }
    const held = this.#models.get(model);
    if (held) held.state = 'ready';
  }

  #undo({ action, model, adapter }: EngineOrder): void {
    if (action === 'unload') {
      const held = this.#models.get(model);
      if (adapter === undefined && held?.state === 'leaving') held.state = 'ready';
      return;
    }
    if (adapter !== undefined) this.#models.get(model)?.adapters.delete(adapter);
    else if (this.#models.get(model)?.state === 'loading') this.#models.delete(model);
  }
}
