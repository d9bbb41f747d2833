import {
  DomainLedger,
  instanceOfBootId,
  Journal,
  loadChart,
  modelOfItem,
  PlacementView,
  planPlacement,
  SnapshotTimer,
} from '@chervilseam/decisions';
import type { ConfigView, DomainEntry, Member, PlacementPlan } from '@chervilseam/decisions';
import type { EndpointDriver, EngineReport } from '@chervilseam/endpoints';
import type { LogPort } from '@chervilseam/ports';
import type { PartLogger } from '@chervilseam/observe';
import type { Metrics } from '../observe/metrics.js';
import { JournalRunner } from '../platform/journal-runner.js';
import { DemandMeter } from './demand-meter.js';
import { MoveLog } from './move-log.js';
import { OrderRunner } from './order-runner.js';

/** Minimum time between two appends to the domain's log stream, in milliseconds. */
const APPEND_INTERVAL_MS = 250;
/**
 * Minimum interval of reads of the domain's log stream while nothing is appended, in milliseconds.
 */
const IDLE_READ_INTERVAL_MS = 500;
/**
 * Minimum interval of these reads per instance of the failure domain, in milliseconds. It keeps the
 * total rate of reads constant in large domains.
 */
const IDLE_READ_INTERVAL_MS_PER_INSTANCE = 20;
/** Maximum number of entries in one append. */
const BATCH_COUNT_MAX = 200;
/** Interval of placement rounds, in milliseconds. */
const PLACEMENT_INTERVAL_MS = 1_000;
/** Time after which the same order may be submitted for reservation again, in milliseconds. */
const RESERVE_RETRY_MS = 2_000;

/** Dependencies of the domain service. */
interface DomainServiceContext {
  readonly log: LogPort;
  readonly driver: EndpointDriver;
  readonly logger: PartLogger;
  readonly metrics: Metrics;
  /** Name of this instance. */
  readonly self: string;
  /** Id of this run of the instance. */
  readonly bootId: string;
  readonly failureDomain: string;
  /** @returns the configuration in force */
  readonly view: () => ConfigView;
  /** @returns the active instance that should own an endpoint, whether or not it has claimed it */
  readonly preferredOwner: (endpoint: string) => Member | undefined;
  /** @returns the known members of the group in any state, by name */
  readonly members: () => ReadonlyMap<string, Member>;
  /** @returns whether an endpoint accepts no new work */
  readonly isLeaving: (endpoint: string) => boolean;
  /** @returns measured throughput of an engine in tokens per second; `undefined` while unknown */
  readonly tokensPerSecond: (endpoint: string) => number | undefined;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
  /** Maximum time from sending an order to its arrival at the engine, in milliseconds. */
  readonly longestDelayMs: number;
  /** How long the log keeps records, in milliseconds. */
  readonly logRetentionMs: number;
  /** @returns a random number from 0 (inclusive) to 1 (exclusive) */
  readonly randomUnit: () => number;
  /** Maximum number of model loads reserved per second in the failure domain. */
  readonly loadsPerSecond: number;
  /** Maximum number of concurrent adapter loads in the failure domain. */
  readonly adapterLoadsMax: number;
  /**
   * Number of concurrent loads in the failure domain, including those of adapters, at which no
   * further load of a model is planned.
   */
  readonly movesAtOnceMax: number;
}

/** An entry whose id is not assigned yet. */
type NewEntry = DomainEntry extends infer E
  ? E extends { id: string }
    ? Omit<E, 'id'>
    : never
  : never;

const chart = loadChart('ownership');

/**
 * Claims the engines of the failure domain that this instance should own, and orders them to load
 * and unload models. Claims and reservations of orders go through the domain's log stream, so that
 * all instances of the domain derive the same owners and the same use of memory.
 */
export class DomainService {
  readonly ledger: DomainLedger;
  readonly moves = new MoveLog();
  readonly demand: DemandMeter;
  readonly #context: DomainServiceContext;
  readonly #journal: Journal<DomainEntry>;
  readonly #runner: JournalRunner;
  readonly #orders: OrderRunner;
  /** State of each engine in the state chart `ownership`, by its name. */
  readonly #states = new Map<string, string>();
  /**
   * Keys of the entries that were submitted and have no result yet. A key names the kind of entry
   * or order and the engine, order or item that it is about.
   */
  readonly #pending = new Set<string>();
  /** Content of the last `observe` entry of each engine, to submit only reports that differ. */
  readonly #observed = new Map<string, string>();
  /** When a reservation of each order was last submitted, in milliseconds, by the order's key. */
  readonly #reservedMs = new Map<string, number>();
  /** Keys of the pending entries by entry id. */
  readonly #keyById = new Map<string, string>();
  /** Number of entries submitted in this run; part of the id of each entry. */
  #entryCount = 0;
  #nextPlacementMs = 0;
  /** Log offset of the last snapshot that restarted the snapshot timer. */
  #lastSnapshotOffset = 0;
  readonly #snapshots: SnapshotTimer;
  #plan: PlacementPlan | undefined;

  /** @param context - dependencies of the service */
  constructor(context: DomainServiceContext) {
    this.#context = context;
    const { log, nowMs, metrics, failureDomain } = context;
    this.ledger = new DomainLedger();
    this.demand = new DemandMeter(nowMs());
    this.#snapshots = new SnapshotTimer(context.logRetentionMs, context.randomUnit, nowMs());
    const options = {
      lingerMs: APPEND_INTERVAL_MS,
      idleReadIntervalMs: IDLE_READ_INTERVAL_MS,
      batchCountMax: BATCH_COUNT_MAX,
    };
    this.#journal = new Journal(this.ledger, options);
    this.#runner = new JournalRunner({
      log,
      stream: `domain-${failureDomain}`,
      journal: this.#journal,
      nowMs,
      onCallDone: () => this.#takeResults(),
      onAppend: () => metrics.logAppends.inc({ stream: 'domain' }),
    });
    this.#orders = new OrderRunner({
      ledger: this.ledger,
      driver: context.driver,
      bootId: context.bootId,
      urlOf: (endpoint) => context.view().endpoints.get(endpoint)?.url,
      nowMs,
      longestDelayMs: context.longestDelayMs,
      isOwner: (endpoint) => this.isOwner(endpoint) && !this.#journal.isDown,
      submit: (entry) => this.#submit(entry as NewEntry),
      onResult: (result, endpoint, { id, item, action }) => {
        this.moves.recordResult(id, result);
        metrics.orders.inc({ result: result.startsWith('no answer') ? 'no answer' : result });
        const text = 'An order to an engine was answered or failed.';
        context.logger.info('order_answered', text, { endpoint, id, item, action, result });
      },
    });
  }

  /** The latest placement plan, including the models that could not be placed. */
  get plan(): PlacementPlan | undefined {
    return this.#plan;
  }

  /**
   * @param endpoint - name of an engine
   * @returns whether this run of the instance owns the engine, as far as the log has been read
   */
  isOwner(endpoint: string): boolean {
    return this.ledger.engine(endpoint).state.incarnation === this.#context.bootId;
  }

  /**
   * @param endpoint - name of an engine
   * @returns this instance's state for the engine in the state chart `ownership`
   */
  ownershipOf(endpoint: string): string {
    return this.#states.get(endpoint) ?? chart.initial;
  }

  /** Runs the log calls, claims, orders, reports and placement that are due. */
  tick(): void {
    this.#journal.idleReadIntervalMs = Math.max(
      IDLE_READ_INTERVAL_MS,
      this.#domainMemberCount() * IDLE_READ_INTERVAL_MS_PER_INSTANCE,
    );
    void this.#runner.pump();
    if (!this.ledger.isWhole || this.#journal.isDown) return;
    this.#claimAll();
    this.#orders.tick();
    const nowMs = this.#context.nowMs();
    const report = this.demand.tick(nowMs, this.#domainMemberCount());
    if (report) this.#submit({ type: 'demand', instance: this.#context.self, ...report });
    if (nowMs < this.#nextPlacementMs) return;
    this.#nextPlacementMs = nowMs + PLACEMENT_INTERVAL_MS;
    this.#concludeOrdersOfPreviousOwners();
    this.#place();
    this.#snapshotIfDue();
  }

  /**
   * Appends an engine's report to the log if this instance owns the engine and the report differs
   * from the last one.
   *
   * @param endpoint - name of the engine
   * @param report - its report
   */
  onReport(endpoint: string, report: EngineReport): void {
    if (!this.isOwner(endpoint)) return;
    const { bootId, residents, settledOrders } = report;
    const engine = this.ledger.engine(endpoint);
    const inFlight = engine.inFlightOrders.map(({ id, state }) => `${id} ${state}`);
    const knownSettled = settledOrders.filter((id) =>
      engine.state.orders.some((order) => order.id === id),
    );
    const { fence } = engine.state;
    const json = JSON.stringify([fence, bootId, residents, knownSettled, inFlight]);
    if (this.#observed.get(endpoint) === json || this.#pending.has(`observe ${endpoint}`)) return;
    this.#observed.set(endpoint, json);
    const checksFencing = this.#context.view().endpoints.get(endpoint)?.checksFencing ?? false;
    const tokensPerSecond = this.#context.tokensPerSecond(endpoint);
    const body = {
      fence,
      bootId,
      residents,
      settledOrders: knownSettled,
      checksFencing,
      tokensPerSecond,
    };
    this.#submitOnce(`observe ${endpoint}`, { type: 'observe', endpoint, ...body });
  }

  #submit(entry: NewEntry): string {
    this.#entryCount += 1;
    const id = `${this.#context.bootId}.d${this.#entryCount}`;
    this.#journal.submit({ id, ...entry });
    return id;
  }

  // Submits the entry unless another one with the same key has no result yet.
  #submitOnce(key: string, entry: NewEntry): string | undefined {
    if (this.#pending.has(key)) return undefined;
    this.#pending.add(key);
    const id = this.#submit(entry);
    this.#keyById.set(id, key);
    return id;
  }

  #takeResults(): void {
    this.#journal.takeResults().forEach(({ id, isRecorded }) => {
      const key = this.#keyById.get(id);
      this.#keyById.delete(id);
      if (key !== undefined) this.#pending.delete(key);
      const rejection = this.ledger.rejectionOf(id);
      const result = rejection === undefined ? 'reserved' : `refused: ${rejection}`;
      this.moves.recordResult(id, isRecorded ? result : 'the log did not take it');
      // A report without effect is submitted again even if it stays the same.
      if (key?.startsWith('observe ') && (!isRecorded || rejection !== undefined)) {
        this.#observed.delete(key.slice('observe '.length));
      }
    });
  }

  // Number of known members of the failure domain in any state, including this instance.
  #domainMemberCount(): number {
    const { failureDomain } = this.#context;
    const members = [...this.#context.members().values()];
    return members.filter((member) => member.failureDomain === failureDomain).length;
  }

  #placementView(): PlacementView {
    return new PlacementView(this.#context.view(), this.ledger, this.#context.failureDomain);
  }

  // Claims all engines that this instance should own and does not own yet.
  #claimAll(): void {
    this.#placementView().engineNames.forEach((endpoint) => {
      const isPreferred = this.#context.preferredOwner(endpoint)?.name === this.#context.self;
      const isOwned = this.isOwner(endpoint);
      const event = this.#ownershipEvent(isPreferred, isOwned);
      const state = this.ownershipOf(endpoint);
      if (event && chart.can(state, event)) this.#states.set(endpoint, chart.next(state, event));
      if (!isPreferred || isOwned) return;
      const { self: owner, bootId: incarnation } = this.#context;
      const baseFence = this.ledger.engine(endpoint).state.fence;
      const claim = { type: 'claim', endpoint, owner, incarnation, baseFence } as const;
      this.#submitOnce(`claim ${endpoint}`, claim);
    });
  }

  // eslint-disable-next-line class-methods-use-this -- kept next to `#claimAll`, its only caller
  #ownershipEvent(isPreferred: boolean, isOwned: boolean): string | undefined {
    if (isOwned) return isPreferred ? 'WIN' : 'YIELD';
    return isPreferred ? 'WANT' : 'LOSE';
  }

  // Orders of previous owners keep memory reserved until no copy of them can arrive. An engine that
  // checks fencing tokens gets a `fence` order, after which it refuses orders with a lower token. At
  // any engine, an order is also concluded once the run that issued it is known to be over. A run
  // that is not over concludes its orders itself.
  #concludeOrdersOfPreviousOwners(): void {
    const members = this.#context.members();
    this.ledger.engines.forEach((engine, endpoint) => {
      if (!this.isOwner(endpoint)) return;
      const { fence } = engine.state;
      const foreign = engine.inFlightOrders.filter(({ issuer }) => issuer !== this.#context.bootId);
      const checksFencing = this.#context.view().endpoints.get(endpoint)?.checksFencing ?? false;
      const isUnfenced = foreign.some(({ state }) => state !== 'fenced');
      if (checksFencing && isUnfenced) {
        this.#reserve(endpoint, 'fence', '', 0, 'shut out orders of a former owner');
      }
      foreign
        .filter(({ issuer }) => DomainService.#isRunOver(issuer, members))
        .forEach(({ id: order }) => {
          const { bootId: incarnation } = this.#context;
          const quiet = { type: 'quiet', endpoint, order, fence, incarnation } as const;
          this.#submitOnce(`quiet ${order}`, { ...quiet, reason: 'issuerGone' });
        });
    });
  }

  // A run is known to be over only if the instance has left the group or is in another run. A
  // member that does not answer may be suspended and may still send its orders when it resumes.
  static #isRunOver(bootId: string, members: ReadonlyMap<string, Member>): boolean {
    const member = members.get(instanceOfBootId(bootId));
    if (!member || member.life === '') return false;
    return member.life !== bootId || member.state === 'left';
  }

  #place(): void {
    const { movesAtOnceMax, isLeaving } = this.#context;
    const view = this.#placementView();
    const loadingCount = [...this.ledger.engines.values()].reduce((sum, engine) => {
      const openLoads = engine.liveOrders.filter(
        ({ action, state }) => action === 'load' && state === 'open',
      );
      return sum + openLoads.length;
    }, 0);
    const budget = Math.max(0, movesAtOnceMax - loadingCount);
    this.#plan = planPlacement(view.input(budget, (endpoint) => !isLeaving(endpoint)));
    this.#plan.moves
      .filter(({ engine }) => this.isOwner(engine))
      .forEach(({ engine, load, unload, reason, gain, alternatives }) => {
        unload.forEach((model) => this.#unload(engine, model, reason));
        const item = view.itemOf(load);
        // The load is planned again in a later round, once the memory has been freed.
        if (!item || unload.length > 0) return;
        this.#reserve(engine, 'load', item.item, item.bytes, reason, { gain, alternatives });
      });
    this.#placeAdapters(view);
    this.#unloadOldVersions(view);
  }

  #unload(endpoint: string, model: string, reason: string): void {
    const { residents } = this.ledger.engine(endpoint).state;
    Object.keys(residents)
      .filter((item) => modelOfItem(item) === model)
      .forEach((item) => this.#reserve(endpoint, 'unload', item, 0, reason));
  }

  // Loads every adapter at all owned engines where its base model is resident.
  #placeAdapters(view: PlacementView): void {
    const { adapters } = this.#context.view();
    view.engineNames
      .filter((endpoint) => this.isOwner(endpoint))
      .forEach((endpoint) => {
        const items = Object.keys(this.ledger.engine(endpoint).state.residents);
        adapters.forEach(({ name, model, weightsBytes }) => {
          const hasBase = items.some((item) => modelOfItem(item) === model);
          if (!hasBase || items.includes(`adapter/${name}`)) return;
          this.#reserve(endpoint, 'load', `adapter/${name}`, weightsBytes, 'its base is resident');
        });
      });
  }

  // Unloads other versions of a model once the configured one is ready at any engine of the domain.
  #unloadOldVersions(view: PlacementView): void {
    const engines = [...this.ledger.engines.values()];
    view.engineNames
      .filter((endpoint) => this.isOwner(endpoint))
      .forEach((endpoint) => {
        const items = Object.keys(this.ledger.engine(endpoint).state.residents);
        items.forEach((item) => {
          const wanted = view.itemOf(modelOfItem(item) ?? '')?.item;
          if (wanted === undefined || wanted === item) return;
          if (!engines.some((engine) => engine.isReady(wanted))) return;
          this.#reserve(endpoint, 'unload', item, 0, 'a newer version is ready');
        });
      });
  }

  // Submits the reservation of an order. Once the log has recorded it, the order runner sends the
  // order.
  #reserve(
    endpoint: string,
    action: 'load' | 'unload' | 'fence',
    item: string,
    bytes: number,
    reason: string,
    rating: { gain: number; alternatives: PlacementPlan['moves'][number]['alternatives'] } = {
      gain: 0,
      alternatives: [],
    },
  ): void {
    const key = `${action} ${endpoint} ${item}`;
    const engine = this.ledger.engine(endpoint);
    const isOpen = engine.liveOrders.some(
      (order) =>
        order.action === action &&
        order.item === item &&
        order.state === 'open' &&
        order.issuer === this.#context.bootId,
    );
    const nowMs = this.#context.nowMs();
    const lastMs = this.#reservedMs.get(key) ?? -Infinity;
    if (isOpen || nowMs - lastMs < RESERVE_RETRY_MS) return;
    this.#reservedMs.set(key, nowMs);
    const config = this.#context.view().endpoints.get(endpoint);
    const model = modelOfItem(item);
    const id = this.#submitOnce(key, {
      type: 'reserve',
      endpoint,
      fence: engine.state.fence,
      action,
      item,
      bytes,
      capacityBytes: config?.memoryBytes ?? 0,
      checksFencing: config?.checksFencing ?? false,
      loadsPerSecond: this.#context.loadsPerSecond,
      adapterLoadsMax: this.#context.adapterLoadsMax,
      mayVanish: model !== undefined && !this.#placementView().mustStayResident(model),
      reason,
    });
    if (id === undefined) return;
    const record = { id, atMs: Date.now(), endpoint, action, item, reason, result: 'waiting' };
    this.moves.add({ ...record, ...rating, orderedBy: this.#context.self });
  }

  #snapshotIfDue(): void {
    const nowMs = this.#context.nowMs();
    if (this.ledger.snapshotOffset > this.#lastSnapshotOffset) {
      this.#lastSnapshotOffset = this.ledger.snapshotOffset;
      this.#snapshots.restart(nowMs);
    }
    if (this.ledger.offset === 0 || !this.#snapshots.isDue(nowMs)) return;
    this.#submit({ type: 'snapshot', snapshot: this.ledger.snapshot() });
  }
}
