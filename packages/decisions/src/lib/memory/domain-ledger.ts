import { RecoveringFold } from '../journal/recovering-fold.js';
import type { StreamRecord } from '../journal/stream-record.js';
import type { DomainEntry } from './domain-entry.js';
import type { DomainState } from './domain-state.js';
import { EngineLedger } from './engine-ledger.js';
import { modelOfItem } from './model-of-item.js';

const MS_PER_SECOND = 1_000;
const REJECTION_COUNT_MAX = 500;
const DEMAND_MEMORY_MS = 600_000;

type Entry<T extends DomainEntry['type']> = DomainEntry & { readonly type: T };

/**
 * Owners, orders and memory of one failure domain's engines: a pure function of its stream. Whatever
 * two owners decide at once, the first record in log order counts, and what would overcommit memory,
 * take the last replica, or overrun the weight store is refused here. Limits come with the records, so
 * that instances with other settings fold alike.
 */
export class DomainLedger extends RecoveringFold<DomainState> {
  protected readonly memoryMs = Infinity;
  readonly #engines = new Map<string, EngineLedger>();
  readonly #rejections = new Map<string, string>();
  #demand: DomainState['demand'] = {};
  #loadTimesMs: readonly number[] = [];

  /** Ledgers by engine. */
  get engines(): ReadonlyMap<string, EngineLedger> {
    return this.#engines;
  }

  /** Tokens a second wanted of each model, summed over the instances that told of late. */
  get demand(): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    Object.values(this.#demand).forEach(({ timeMs, tokensPerSecond }) => {
      if (this.timeMs - timeMs > DEMAND_MEMORY_MS) return;
      Object.entries(tokensPerSecond).forEach(([model, tokens]) => {
        sums.set(model, (sums.get(model) ?? 0) + tokens);
      });
    });
    return sums;
  }

  /**
   * @param endpoint - name of an engine
   * @returns its ledger, empty if nothing is known of it
   */
  engine(endpoint: string): EngineLedger {
    return this.#engines.get(endpoint) ?? new EngineLedger(EngineLedger.empty(endpoint));
  }

  /**
   * @param id - id of an entry
   * @returns why it was rejected, if it was of late
   */
  rejectionOf(id: string): string | undefined {
    return this.#rejections.get(id);
  }

  protected override take({ offset, timeMs, value }: StreamRecord): void {
    const entry = value as DomainEntry | null;
    const handlers: Readonly<Record<string, () => string | undefined>> = {
      claim: () => this.#claim(entry as Entry<'claim'>, offset),
      reserve: () => this.#reserve(entry as Entry<'reserve'>, offset, timeMs),
      settle: () => this.#settle(entry as Entry<'settle'>),
      quiet: () => this.#quiet(entry as Entry<'quiet'>, offset),
      observe: () => this.#observe(entry as Entry<'observe'>),
      demand: () => this.#takeDemand(entry as Entry<'demand'>),
    };
    if (!entry || !Object.hasOwn(handlers, entry.type)) return;
    const rejection = handlers[entry.type]();
    if (rejection !== undefined) this.#reject(entry.id, rejection);
  }

  protected override save(): DomainState {
    const engines = [...this.#engines.values()].map(({ state }) => state);
    return { engines, demand: this.#demand, loadTimesMs: this.#loadTimesMs };
  }

  protected override restore({ engines, demand, loadTimesMs }: DomainState): void {
    this.#engines.clear();
    engines.forEach((state) => this.#engines.set(state.endpoint, new EngineLedger(state)));
    this.#demand = demand;
    this.#loadTimesMs = loadTimesMs;
  }

  #reject(id: string, reason: string): void {
    this.#rejections.set(id, reason);
    if (this.#rejections.size <= REJECTION_COUNT_MAX) return;
    const [oldest] = this.#rejections.keys();
    this.#rejections.delete(oldest);
  }

  #ledger(endpoint: string): EngineLedger {
    const ledger = this.engine(endpoint);
    this.#engines.set(endpoint, ledger);
    return ledger;
  }

  #claim({ endpoint, owner, incarnation, baseFence }: Entry<'claim'>, offset: number) {
    const hasWon = this.#ledger(endpoint).claim(offset, owner, incarnation, baseFence);
    return hasWon ? undefined : 'another claim came first';
  }

  #reserve(entry: Entry<'reserve'>, offset: number, timeMs: number): string | undefined {
    const { id, endpoint, fence, action, item, bytes, capacityBytes, reason } = entry;
    const ledger = this.#ledger(endpoint);
    if (ledger.state.orders.some((order) => order.id === id)) return undefined;
    const rejection =
      ledger.rejection({ action, item, bytes }, fence, capacityBytes) ??
      this.#rejectLast(entry) ??
      this.#rejectRate(entry);
    if (rejection !== undefined) return rejection;
    const { incarnation: issuer } = ledger.state;
    ledger.reserve({ id, number: offset, action, item, bytes, issuer, timeMs, reason });
    const isModelLoad = action === 'load' && modelOfItem(item) !== undefined;
    if (isModelLoad) this.#loadTimesMs = [...this.#recentLoads(), this.timeMs];
    return undefined;
  }

  #rejectLast({ endpoint, action, item, mayVanish }: Entry<'reserve'>): string | undefined {
    const model = modelOfItem(item);
    if (action !== 'unload' || mayVanish || model === undefined) return undefined;
    const isReplica = (ledger: EngineLedger): boolean =>
      Object.keys(ledger.state.residents).some(
        (other) =>
          modelOfItem(other) === model &&
          ledger.isReady(other) &&
          !(ledger.state.endpoint === endpoint && other === item),
      );
    return [...this.#engines.values()].some(isReplica) ? undefined : 'it is the last replica';
  }

  #rejectRate(entry: Entry<'reserve'>): string | undefined {
    const { action, item, loadsPerSecond, adapterLoadsMax } = entry;
    if (action !== 'load') return undefined;
    if (modelOfItem(item) === undefined) return this.#rejectAdapter(adapterLoadsMax);
    const isFull = this.#recentLoads().length >= loadsPerSecond;
    return isFull ? 'the weight store has its share of loads for this second' : undefined;
  }

  #rejectAdapter(adapterLoadsMax: number): string | undefined {
    const isOpen = ({ state, item }: EngineLedger['liveOrders'][number]): boolean =>
      state === 'open' && modelOfItem(item) === undefined;
    const count = [...this.#engines.values()].reduce(
      (sum, ledger) => sum + ledger.liveOrders.filter(isOpen).length,
      0,
    );
    return count >= adapterLoadsMax ? 'too many adapters are loading' : undefined;
  }

  #recentLoads(): readonly number[] {
    return this.#loadTimesMs.filter((loadMs) => this.timeMs - loadMs < MS_PER_SECOND);
  }

  #settle({ endpoint, order }: Entry<'settle'>): undefined {
    this.#ledger(endpoint).settle(order);
    return undefined;
  }

  // Only its issuer can tell that an order never left, or when it did; that the issuer is gone is
  // for the owner in force to say.
  #quiet(entry: Entry<'quiet'>, offset: number): string | undefined {
    const { endpoint, order, fence, incarnation, reason } = entry;
    const ledger = this.#ledger(endpoint);
    const known = ledger.state.orders.find(({ id }) => id === order);
    const isIssuer = known?.issuer === incarnation;
    const isOwner = fence === ledger.state.fence;
    if (reason === 'issuerGone' ? !isOwner : !isIssuer) return 'not for this instance to say';
    ledger.quiet(order, offset, reason !== 'neverSent');
    return undefined;
  }

  #observe(entry: Entry<'observe'>): string | undefined {
    const { endpoint, fence } = entry;
    const ledger = this.#ledger(endpoint);
    if (fence !== ledger.state.fence) return 'the claim is no longer in force';
    return ledger.observe(entry, entry.checksFencing) ? undefined : 'the report is too old';
  }

  #takeDemand({ instance, isWhole, tokensPerSecond }: Entry<'demand'>): undefined {
    const known = isWhole ? {} : this.#demand[instance]?.tokensPerSecond;
    const merged = { ...known, ...tokensPerSecond };
    const told = { timeMs: this.timeMs, tokensPerSecond: merged };
    this.#demand = { ...this.#demand, [instance]: told };
    return undefined;
  }
}
