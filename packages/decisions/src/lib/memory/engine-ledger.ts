import { loadChart } from '../chart/load-chart.js';
import type { EngineState } from './engine-state.js';
import type { OrderRecord } from './order-record.js';

/** Number of ids of the engine's past runs that are kept. */
const PAST_BOOT_COUNT_MAX = 16;

const chart = loadChart('reservation');

interface EngineReport {
  readonly bootId: string;
  readonly residents: Readonly<Record<string, number>>;
  readonly settledOrders: readonly string[];
  readonly tokensPerSecond?: number;
}

/** No copy of the order can arrive any more. */
const isQuiet = ({ state }: OrderRecord): boolean => chart.isFinal(state);

/**
 * The engine refuses the order because of its outdated fencing token, until the engine restarts.
 */
const isFenced = ({ state }: OrderRecord): boolean => state === 'fenced';

/** No copy of the order can arrive any more, and a report has shown its effect. */
const isConcluded = (order: OrderRecord): boolean => isQuiet(order) && order.isShown;

/**
 * The memory of one engine as a pure function of the log: the items that the engine reported as
 * resident, and every load that may still arrive, whichever instance sent it. Their sum never
 * exceeds the engine's capacity.
 */
export class EngineLedger {
  #state: EngineState;

  /** @param state - state to start from */
  constructor(state: EngineState) {
    this.#state = state;
  }

  /**
   * @param endpoint - name of the engine
   * @returns the state of an engine without any records
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

  /** Whether the engine has ever reported to an owner. */
  get isObserved(): boolean {
    return this.#state.bootId !== '';
  }

  /** Most memory that the engine can come to use, whichever orders still arrive, in bytes. */
  get worstBytes(): number {
    return this.#worstCaseBytes(undefined);
  }

  /** Orders that may still take effect, or whose effect no report has shown yet. */
  get liveOrders(): readonly OrderRecord[] {
    return this.#state.orders.filter((order) => !isConcluded(order) && !isFenced(order));
  }

  /**
   * Orders of which a copy may still arrive, including those that the engine's fencing check
   * refuses.
   */
  get inFlightOrders(): readonly OrderRecord[] {
    return this.#state.orders.filter((order) => !isQuiet(order));
  }

  /**
   * @param item - a model's version, or an adapter
   * @returns whether the item is resident and no order to unload it may take effect
   */
  isReady(item: string): boolean {
    const isLeaving = this.liveOrders.some(
      (order) => order.action === 'unload' && order.item === item,
    );
    return Object.hasOwn(this.#state.residents, item) && !isLeaving;
  }

  /**
   * Applies a claim. Of two claims that replace the same one, the first in the log wins.
   *
   * @returns whether the claim won
   */
  claim(offset: number, owner: string, incarnation: string, baseFence: number): boolean {
    if (baseFence !== this.#state.fence) return false;
    this.#state = { ...this.#state, owner, incarnation, fence: offset };
    return true;
  }

  /**
   * Checks whether an order may be reserved.
   *
   * @param order - the order
   * @param fence - fencing token of the claim that the order is based on
   * @param capacityBytes - the engine's memory, in bytes
   * @returns why the order is rejected, or `undefined` when it may be reserved
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
    const hasOppositeOrder = this.liveOrders.some(
      ({ action, item, state }) => action === opposite && item === order.item && state === 'open',
    );
    if (hasOppositeOrder) return 'an opposite order is on its way';
    if (order.action === 'unload') {
      return Object.hasOwn(this.#state.residents, order.item) ? undefined : 'it is not resident';
    }
    const worstBytes = this.#worstCaseBytes(order);
    if (worstBytes <= capacityBytes) return undefined;
    return `it would need ${worstBytes} of ${capacityBytes} bytes`;
  }

  /** @param order - an order that passed `rejection` */
  reserve(order: Omit<OrderRecord, 'state' | 'quietOffset' | 'isShown'>): void {
    const fresh = { state: chart.initial, quietOffset: 0, isShown: false };
    const record: OrderRecord = { ...order, ...fresh };
    const kept = this.#state.orders.filter((known) => !isConcluded(known));
    this.#state = { ...this.#state, orders: [...kept, record] };
  }

  /** @param id - id of an order that the engine answered */
  settle(id: string): void {
    this.#change(
      (order) => order.id === id,
      (order) => ({ ...order, state: chart.next(order.state, 'SETTLE') }),
    );
  }

  /**
   * Records that no copy of an order can arrive any more. The order's memory stays counted until a
   * report from a later time shows the order's effect.
   *
   * @param id - id of the order
   * @param quietOffset - log offset of the `quiet` entry
   * @param wasSent - whether the order may have been sent at all
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
   * Applies an engine's report, unless it is older than what the log already shows.
   *
   * @param report - the report
   * @param checksFencing - whether the engine refuses orders with an outdated fencing token
   * @returns whether the report was used
   */
  observe(report: EngineReport, checksFencing: boolean): boolean {
    const { bootId, residents, settledOrders } = report;
    if (this.#state.pastBootIds.includes(bootId)) return false;
    const isNewBoot = bootId !== this.#state.bootId;
    const isOutdated = this.#state.orders.some(
      ({ id, state }) => state === 'settled' && !settledOrders.includes(id),
    );
    if (!isNewBoot && isOutdated) return false;
    if (isNewBoot) this.#startBoot(bootId);
    const { tokensPerSecond = this.#state.tokensPerSecond } = report;
    this.#state = { ...this.#state, residents, tokensPerSecond };
    if (checksFencing) this.#fenceLowerOrders(settledOrders);
    this.#markShown(settledOrders);
    return true;
  }

  // Reports lag: one that was read after the `quiet` entry may still describe an earlier state. It
  // is known to be late enough only if it lists this order, or one that was reserved after the
  // `quiet` entry, as settled.
  #markShown(settledOrders: readonly string[]): void {
    const settled = this.#state.orders.filter(({ id }) => settledOrders.includes(id));
    const highestSettled = Math.max(0, ...settled.map(({ number }) => number));
    const orders = this.#state.orders.map((order) => {
      const isLateEnough = settledOrders.includes(order.id) || highestSettled > order.quietOffset;
      return isQuiet(order) && isLateEnough ? { ...order, isShown: true } : order;
    });
    this.#state = { ...this.#state, orders };
  }

  // A restarted engine holds nothing and has forgotten its fencing token: it may accept an order
  // that it refused before.
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

  // An engine that checks fencing tokens and has carried out an order refuses every order with a
  // lower token from then on.
  #fenceLowerOrders(settledOrders: readonly string[]): void {
    const settled = this.#state.orders.filter(({ id }) => settledOrders.includes(id));
    const highestSettled = Math.max(0, ...settled.map(({ number }) => number));
    this.#change(
      ({ number }) => number < highestSettled,
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

  // The larger of two worst cases: all live orders take effect in addition to the resident items;
  // or the engine has restarted unnoticed, holds nothing, has forgotten its fencing token, and
  // accepts every order of which a copy may still arrive.
  #worstCaseBytes(extra: Pick<OrderRecord, 'action' | 'item' | 'bytes'> | undefined): number {
    const added = extra ? [extra] : [];
    const withResidents = EngineLedger.#sum(this.#state.residents, [...this.liveOrders, ...added]);
    const afterRestart = EngineLedger.#sum({}, [...this.inFlightOrders, ...added]);
    return Math.max(withResidents, afterRestart);
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
