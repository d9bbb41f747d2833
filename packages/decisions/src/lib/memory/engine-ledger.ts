import { loadChart } from '../chart/load-chart.js';
import type { EngineState } from './engine-state.js';
import type { OrderRecord } from './order-record.js';

const PAST_BOOT_COUNT_MAX = 16;

const chart = loadChart('reservation');

interface EngineReport {
  readonly bootId: string;
  readonly residents: Readonly<Record<string, number>>;
  readonly settledOrders: readonly string[];
  readonly tokensPerSecond?: number;
}

const isQuiet = ({ state }: OrderRecord): boolean => chart.isFinal(state);

const isFenced = ({ state }: OrderRecord): boolean => state === 'fenced';

/** An order of which no copy can arrive and whose effect a report has shown. */
const isOver = (order: OrderRecord): boolean => isQuiet(order) && order.isShown;

/**
 * The memory of one engine as a pure function of the log: what it said that it holds, and every
 * load that may still arrive, whoever sent it. The sum is never more than the capacity.
 */
export class EngineLedger {
  #state: EngineState;

  /** @param state - the state to go on from */
  constructor(state: EngineState) {
    this.#state = state;
  }

  /**
   * @param endpoint - name of the engine
   * @returns the state of an engine that nothing is known of
   */
  static empty(endpoint: string): EngineState {
    return {
      endpoint,
      owner: '',
      incarnation: '',
      fence: 0,
      bootId: '',
      pastBootIds: [],
      residents: {},
      tokensPerSecond: 0,
      orders: [],
    };
  }

  /** The state, for snapshots and decisions. */
  get state(): EngineState {
    return this.#state;
  }

  /** Whether the engine has reported to an owner. */
  get isObserved(): boolean {
    return this.#state.bootId !== '';
  }

  /** The most bytes that the engine may come to hold, whatever still arrives. */
  get worstBytes(): number {
    return this.#worstBytesWith(undefined);
  }

  /** Orders that may still arrive, or whose effect no report has shown yet. */
  get liveOrders(): readonly OrderRecord[] {
    return this.#state.orders.filter((order) => !isOver(order) && !isFenced(order));
  }

  /** Orders of which some copy may still be under way, also those that a fence keeps out. */
  get wanderingOrders(): readonly OrderRecord[] {
    return this.#state.orders.filter((order) => !isQuiet(order));
  }

  /**
   * @param item - a model's version, or an adapter
   * @returns whether the engine holds it and nothing is about to take it away
   */
  isReady(item: string): boolean {
    const isLeaving = this.liveOrders.some(
      (order) => order.action === 'unload' && order.item === item,
    );
    return Object.hasOwn(this.#state.residents, item) && !isLeaving;
  }

  /**
   * Takes a claim; of two that follow the same one the first wins.
   *
   * @returns whether it won
   */
  claim(offset: number, owner: string, incarnation: string, baseFence: number): boolean {
    if (baseFence !== this.#state.fence) return false;
    this.#state = { ...this.#state, owner, incarnation, fence: offset };
    return true;
  }

  /**
   * Tells why an order may not be reserved.
   *
   * @param order - the order
   * @param fence - claim that the order rests on
   * @param capacityBytes - the engine's memory, in bytes
   * @returns the reason, or `undefined` when it may
   */
  rejection(
    order: Pick<OrderRecord, 'action' | 'item' | 'bytes'>,
    fence: number,
    capacityBytes: number,
  ): string | undefined {
    if (fence === 0 || fence !== this.#state.fence) return 'the claim is no longer in force';
    if (order.action === 'fence') return undefined;
    if (!this.isObserved) return 'the engine has not reported yet';
    const opposite = order.action === 'load' ? 'unload' : 'load';
    const isCrossed = this.liveOrders.some(
      ({ action, item, state }) => action === opposite && item === order.item && state === 'open',
    );
    if (isCrossed) return 'an opposite order is on its way';
    if (order.action === 'unload') {
      return Object.hasOwn(this.#state.residents, order.item) ? undefined : 'it is not resident';
    }
    const worstBytes = this.#worstBytesWith(order);
    if (worstBytes <= capacityBytes) return undefined;
    return `it would need ${worstBytes} of ${capacityBytes} bytes`;
  }

  /** @param order - an order that was accepted */
  reserve(order: Omit<OrderRecord, 'state' | 'quietOffset' | 'isShown'>): void {
    const fresh = { state: chart.initial, quietOffset: 0, isShown: false };
    const record: OrderRecord = { ...order, ...fresh };
    const kept = this.#state.orders.filter((known) => !isOver(known));
    this.#state = { ...this.#state, orders: [...kept, record] };
  }

  /** @param id - an order that the engine answered */
  settle(id: string): void {
    this.#change(
      (order) => order.id === id,
      (order) => ({ ...order, state: chart.next(order.state, 'SETTLE') }),
    );
  }

  /**
   * Takes the word that no copy of an order can arrive any more. Its memory stays counted until a
   * report from after that word shows what the order left behind.
   *
   * @param id - the order
   * @param quietOffset - log offset of the word
   * @param wasSent - whether any copy ever left
   */
  quiet(id: string, quietOffset: number, wasSent: boolean): void {
    this.#change(
      (order) => order.id === id,
      (order) => ({
        ...order,
        state: chart.next(order.state, 'QUIET'),
        quietOffset,
        isShown: order.isShown || !wasSent,
      }),
    );
  }

  /**
   * Takes an engine's report, unless it is older than what is known.
   *
   * @param report - the report
   * @param checksFencing - whether the engine refuses orders with an old number
   * @returns whether it was taken
   */
  observe(report: EngineReport, checksFencing: boolean): boolean {
    const { bootId, residents, settledOrders } = report;
    if (this.#state.pastBootIds.includes(bootId)) return false;
    const isNewBoot = bootId !== this.#state.bootId;
    const isOlder = this.#state.orders.some(
      ({ id, state }) => state === 'settled' && !settledOrders.includes(id),
    );
    if (!isNewBoot && isOlder) return false;
    if (isNewBoot) this.#startBoot(bootId);
    const { tokensPerSecond = this.#state.tokensPerSecond } = report;
    this.#state = { ...this.#state, residents, tokensPerSecond };
    if (checksFencing) this.#quietByFence(settledOrders);
    this.#show(settledOrders);
    return true;
  }

  // Reports lag: one that was read after the word may still be older than it. Only the trace of an
  // order in it, this one or one reserved after the word, proves its age.
  #show(settledOrders: readonly string[]): void {
    const settled = this.#state.orders.filter(({ id }) => settledOrders.includes(id));
    const highest = Math.max(0, ...settled.map(({ number }) => number));
    const orders = this.#state.orders.map((order) => {
      const isTraced = settledOrders.includes(order.id) || highest > order.quietOffset;
      return isQuiet(order) && isTraced ? { ...order, isShown: true } : order;
    });
    this.#state = { ...this.#state, orders };
  }

  // A restarted engine holds nothing and remembers no fencing number: an order that its fence kept
  // out before may get in again.
  #startBoot(bootId: string): void {
    const past = this.#state.bootId === '' ? [] : [this.#state.bootId];
    const pastBootIds = [...this.#state.pastBootIds, ...past].slice(-PAST_BOOT_COUNT_MAX);
    const orders = this.#state.orders.map((order) =>
      chart.can(order.state, 'BOOT')
        ? { ...order, state: chart.next(order.state, 'BOOT'), isShown: false }
        : order,
    );
    this.#state = { ...this.#state, bootId, pastBootIds, orders };
  }

  // An engine that has carried out an order refuses every one with a lower number from then on.
  #quietByFence(settledOrders: readonly string[]): void {
    const settled = this.#state.orders.filter(({ id }) => settledOrders.includes(id));
    const highest = Math.max(0, ...settled.map(({ number }) => number));
    this.#change(
      ({ number }) => number < highest,
      (order) => ({
        ...order,
        state: chart.next(order.state, 'FENCE'),
        isShown: true,
      }),
    );
  }

  #change(
    matches: (order: OrderRecord) => boolean,
    change: (order: OrderRecord) => OrderRecord,
  ): void {
    const orders = this.#state.orders.map((order) =>
      !isQuiet(order) && matches(order) ? change(order) : order,
    );
    this.#state = { ...this.#state, orders };
  }

  // Two worst cases: everything under way arrives beside what the engine holds; or the engine has
  // restarted unseen, holds nothing, has forgotten its fence, and whatever still wanders gets in.
  #worstBytesWith(extra: Pick<OrderRecord, 'action' | 'item' | 'bytes'> | undefined): number {
    const added = extra ? [extra] : [];
    const beside = EngineLedger.#sum(this.#state.residents, [...this.liveOrders, ...added]);
    const afterRestart = EngineLedger.#sum({}, [...this.wanderingOrders, ...added]);
    return Math.max(beside, afterRestart);
  }

  static #sum(
    residents: Readonly<Record<string, number>>,
    orders: readonly Pick<OrderRecord, 'action' | 'item' | 'bytes'>[],
  ): number {
    const items = new Map(Object.entries(residents));
    orders
      .filter(({ action }) => action === 'load')
      .forEach(({ item, bytes }) => items.set(item, Math.max(bytes, items.get(item) ?? 0)));
    return [...items.values()].reduce((sum, bytes) => sum + bytes, 0);
  }
}
