import { RecoveringFold } from '../journal/recovering-fold.js';
import type { StreamRecord } from '../journal/stream-record.js';
import type { DomainEntry } from './domain-entry.js';
import type { DomainState } from './domain-state.js';
import { EngineLedger } from './engine-ledger.js';
import { modelOfItem } from './model-of-item.js';

const MS_PER_SECOND = 1_000;
/** Number of recent rejections that are kept. */
const REJECTION_COUNT_MAX = 500;
/** Age after which an instance's report of its demand no longer counts, in milliseconds. */
const DEMAND_MAX_AGE_MS = 600_000;

type Entry<T extends DomainEntry['type']> = DomainEntry & { readonly type: T };

/**
 * Owners, orders and memory of one failure domain's engines: a pure function of the domain's log
 * stream. When two owners decide concurrently, the first record in log order wins. A reservation is
 * rejected if it would overcommit memory, remove the last replica of a model, or exceed the load
 * rate of the weight store or the number of open adapter loads. The limits are part of the records,
 * so that instances with different settings derive the same state.
 */
export class DomainLedger extends RecoveringFold<DomainState> {
  protected readonly memoryMs = Infinity;
  readonly #engines = new Map<string, EngineLedger>();
  readonly #rejections = new Map<string, string>();
  #demand: DomainState['demand'] = {};
  #loadTimesMs: readonly number[] = [];

  /** Ledgers by engine name. */
  get engines(): ReadonlyMap<string, EngineLedger> {
    return this.#engines;
  }

  /**
   * Demand by model in tokens per second, summed over the instances that reported within the last
   * `DEMAND_MAX_AGE_MS`.
   */
  get demand(): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    Object.values(this.#demand).forEach(({ timeMs, tokensPerSecond }) => {
      if (this.timeMs - timeMs > DEMAND_MAX_AGE_MS) return;
      Object.entries(tokensPerSecond).forEach(([model, tokens]) => {
        sums.set(model, (sums.get(model) ?? 0) + tokens);
      });
    });
    return sums;
  }

  /**
   * @param endpoint - name of an engine
   * @returns the engine's ledger; an empty one for an unknown engine
   */
  engine(endpoint: string): EngineLedger {
    return this.#engines.get(endpoint) ?? new EngineLedger(EngineLedger.empty(endpoint));
  }

  /**
   * @param id - id of an entry
   * @returns why the entry was rejected, if it is among the recent rejections
   */
  rejectionOf(id: string): string | undefined {
    return this.#rejections.get(id);
  }

  protected override applyRecord({ offset, timeMs, value }: StreamRecord): void {
    const entry = value as DomainEntry | null;
    const handlers: Readonly<Record<string, () => string | undefined>> = {
      claim: () => this.#claim(entry as Entry<'claim'>, offset),
      reserve: () => this.#reserve(entry as Entry<'reserve'>, offset, timeMs),
      settle: () => this.#settle(entry as Entry<'settle'>),
      quiet: () => this.#quiet(entry as Entry<'quiet'>, offset),
      observe: () => this.#observe(entry as Entry<'observe'>),
      demand: () => this.#applyDemand(entry as Entry<'demand'>),
    };
    if (!entry || !Object.hasOwn(handlers, entry.type)) return;
    const rejection = handlers[entry.type]();
    if (rejection !== undefined) this.#recordRejection(entry.id, rejection);
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

  #recordRejection(id: string, reason: string): void {
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
      this.#rejectLastReplica(entry) ??
      this.#rejectLoadRate(entry);
    if (rejection !== undefined) return rejection;
    const { incarnation: issuer } = ledger.state;
    ledger.reserve({ id, number: offset, action, item, bytes, issuer, timeMs, reason });
    const isModelLoad = action === 'load' && modelOfItem(item) !== undefined;
    if (isModelLoad) this.#loadTimesMs = [...this.#recentLoads(), this.timeMs];
    return undefined;
  }

  #rejectLastReplica({ endpoint, action, item, mayVanish }: Entry<'reserve'>): string | undefined {
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

  #rejectLoadRate(entry: Entry<'reserve'>): string | undefined {
    const { action, item, loadsPerSecond, adapterLoadsMax } = entry;
    if (action !== 'load') return undefined;
    if (modelOfItem(item) === undefined) return this.#rejectAdapter(adapterLoadsMax);
    const isRateReached = this.#recentLoads().length >= loadsPerSecond;
    return isRateReached ? 'the weight store has its share of loads for this second' : undefined;
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

  // Only the issuer of an order knows whether and when it sent the order. Only the current owner
  // may record that the issuer's run is over.
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

  #applyDemand({ instance, isWhole, tokensPerSecond }: Entry<'demand'>): undefined {
    const known = isWhole ? {} : this.#demand[instance]?.tokensPerSecond;
    const merged = { ...known, ...tokensPerSecond };
    const report = { timeMs: this.timeMs, tokensPerSecond: merged };
    this.#demand = { ...this.#demand, [instance]: report };
    return undefined;
  }
}
