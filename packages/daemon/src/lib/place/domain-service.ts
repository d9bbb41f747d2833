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

const LINGER_MS = 250;
const TAIL_MS = 500;
/** Each instance of the domain adds this, so that the log's reads do not grow with their number. */
const TAIL_MS_PER_INSTANCE = 20;
const BATCH_COUNT_MAX = 200;
const ROUND_MS = 1_000;
const RESERVE_RETRY_MS = 2_000;

/** What owning the engines of a failure domain needs around it. */
interface DomainServiceContext {
  readonly log: LogPort;
  readonly driver: EndpointDriver;
  readonly logger: PartLogger;
  readonly metrics: Metrics;
  readonly self: string;
  readonly life: string;
  readonly failureDomain: string;
  readonly view: () => ConfigView;
  /** @returns the instance that should own an endpoint */
  readonly wantedOwner: (endpoint: string) => Member | undefined;
  readonly members: () => ReadonlyMap<string, Member>;
  readonly isLeaving: (endpoint: string) => boolean;
  readonly tokensPerSecond: (endpoint: string) => number | undefined;
  readonly nowMs: () => number;
  readonly longestDelayMs: number;
  readonly logRetentionMs: number;
  /** @returns a random number from 0 up to 1 */
  readonly randomUnit: () => number;
  readonly loadsPerSecond: number;
  readonly adapterLoadsMax: number;
  readonly movesAtOnceMax: number;
}

type NewEntry = DomainEntry extends infer E
  ? E extends { id: string }
    ? Omit<E, 'id'>
    : never
  : never;

const chart = loadChart('ownership');

/** Claims the engines of the failure domain that fall to this instance, and places models there. */
export class DomainService {
  readonly ledger: DomainLedger;
  readonly moves = new MoveLog();
  readonly demand: DemandMeter;
  readonly #context: DomainServiceContext;
  readonly #journal: Journal<DomainEntry>;
  readonly #runner: JournalRunner;
  readonly #orders: OrderRunner;
  readonly #states = new Map<string, string>();
  readonly #waiting = new Set<string>();
  readonly #observed = new Map<string, string>();
  readonly #triedMs = new Map<string, number>();
  /** What each entry on its way is about, by its id. */
  readonly #keys = new Map<string, string>();
  #count = 0;
  #nextRoundMs = 0;
  #lastSnapshotOffset = 0;
  readonly #snapshots: SnapshotTimer;
  #plan: PlacementPlan | undefined;

  /** @param context - log, engines, configuration and clock */
  constructor(context: DomainServiceContext) {
    this.#context = context;
    const { log, nowMs, metrics, failureDomain } = context;
    this.ledger = new DomainLedger();
    this.demand = new DemandMeter(nowMs());
    this.#snapshots = new SnapshotTimer(context.logRetentionMs, context.randomUnit, nowMs());
    const options = {
      lingerMs: LINGER_MS,
      idleReadIntervalMs: TAIL_MS,
      batchCountMax: BATCH_COUNT_MAX,
    };
    this.#journal = new Journal(this.ledger, options);
    this.#runner = new JournalRunner({
      log,
      stream: `domain-${failureDomain}`,
      user: this.#journal,
      nowMs,
      onStep: () => this.#takeResults(),
      onAppend: () => metrics.logAppends.inc({ stream: 'domain' }),
    });
    this.#orders = new OrderRunner({
      ledger: this.ledger,
      driver: context.driver,
      life: context.life,
      urlOf: (endpoint) => context.view().endpoints.get(endpoint)?.url,
      nowMs,
      longestDelayMs: context.longestDelayMs,
      isOwner: (endpoint) => this.isOwner(endpoint) && !this.#journal.isDown,
      submit: (entry) => this.#submit(entry as NewEntry),
      onResult: (result, endpoint, { id, item, action }) => {
        this.moves.note(id, result);
        metrics.orders.inc({ result: result.startsWith('no answer') ? 'no answer' : result });
        const text = 'An engine answered an order.';
        context.logger.info('order_answered', text, { endpoint, id, item, action, result });
      },
    });
  }

  /** The latest plan, with what could not be placed. */
  get plan(): PlacementPlan | undefined {
    return this.#plan;
  }

  /**
   * @param endpoint - name of an engine
   * @returns whether the log names this life of the instance as its owner
   */
  isOwner(endpoint: string): boolean {
    return this.ledger.engine(endpoint).state.incarnation === this.#context.life;
  }

  /**
   * @param endpoint - name of an engine
   * @returns where this instance stands with it, as in the chart `ownership`
   */
  ownershipOf(endpoint: string): string {
    return this.#states.get(endpoint) ?? chart.initial;
  }

  /** Goes on with the log, claims, orders and placement. */
  tick(): void {
    this.#journal.idleReadIntervalMs = Math.max(
      TAIL_MS,
      this.#neighbourCount() * TAIL_MS_PER_INSTANCE,
    );
    void this.#runner.pump();
    if (!this.ledger.isWhole || this.#journal.isDown) return;
    this.#claimAll();
    this.#orders.tick();
    const nowMs = this.#context.nowMs();
    const wanted = this.demand.tick(nowMs, this.#neighbourCount());
    if (wanted) this.#submit({ type: 'demand', instance: this.#context.self, ...wanted });
    if (nowMs < this.#nextRoundMs) return;
    this.#nextRoundMs = nowMs + ROUND_MS;
    this.#resolveFormer();
    this.#place();
    this.#snapshotIfDue();
  }

  /**
   * Takes an engine's report and puts it on the log if it says something new.
   *
   * @param endpoint - name of the engine
   * @param report - its report
   */
  onReport(endpoint: string, report: EngineReport): void {
    if (!this.isOwner(endpoint)) return;
    const { bootId, residents, settledOrders } = report;
    const ledger = this.ledger.engine(endpoint);
    const open = ledger.inFlightOrders.map(({ id, state }) => `${id} ${state}`);
    const known = settledOrders.filter((id) =>
      ledger.state.orders.some((order) => order.id === id),
    );
    const { fence } = ledger.state;
    const text = JSON.stringify([fence, bootId, residents, known, open]);
    if (this.#observed.get(endpoint) === text || this.#waiting.has(`observe ${endpoint}`)) return;
    this.#observed.set(endpoint, text);
    const checksFencing = this.#context.view().endpoints.get(endpoint)?.checksFencing ?? false;
    const tokensPerSecond = this.#context.tokensPerSecond(endpoint);
    const body = { fence, bootId, residents, settledOrders: known, checksFencing, tokensPerSecond };
    this.#submitOnce(`observe ${endpoint}`, { type: 'observe', endpoint, ...body });
  }

  #submit(entry: NewEntry): string {
    this.#count += 1;
    const id = `${this.#context.life}.d${this.#count}`;
    this.#journal.submit({ id, ...entry });
    return id;
  }

  #submitOnce(key: string, entry: NewEntry): string | undefined {
    if (this.#waiting.has(key)) return undefined;
    this.#waiting.add(key);
    const id = this.#submit(entry);
    this.#keys.set(id, key);
    return id;
  }

  #takeResults(): void {
    this.#journal.takeResults().forEach(({ id, isRecorded }) => {
      const key = this.#keys.get(id);
      this.#keys.delete(id);
      if (key !== undefined) this.#waiting.delete(key);
      const rejection = this.ledger.rejectionOf(id);
      const refused = rejection === undefined ? 'reserved' : `refused: ${rejection}`;
      this.moves.note(id, isRecorded ? refused : 'the log did not take it');
      if (key?.startsWith('observe ') && (!isRecorded || rejection !== undefined)) {
        this.#observed.delete(key.slice('observe '.length));
      }
    });
  }

  #neighbourCount(): number {
    const { failureDomain } = this.#context;
    const members = [...this.#context.members().values()];
    return members.filter((member) => member.failureDomain === failureDomain).length;
  }

  #viewOf(): PlacementView {
    return new PlacementView(this.#context.view(), this.ledger, this.#context.failureDomain);
  }

  #claimAll(): void {
    this.#viewOf().engineNames.forEach((endpoint) => {
      const isWanted = this.#context.wantedOwner(endpoint)?.name === this.#context.self;
      const isOwned = this.isOwner(endpoint);
      const event = this.#eventOf(isWanted, isOwned);
      const state = this.ownershipOf(endpoint);
      if (event && chart.can(state, event)) this.#states.set(endpoint, chart.next(state, event));
      if (!isWanted || isOwned) return;
      const { self: owner, life: incarnation } = this.#context;
      const baseFence = this.ledger.engine(endpoint).state.fence;
      const claim = { type: 'claim', endpoint, owner, incarnation, baseFence } as const;
      this.#submitOnce(`claim ${endpoint}`, claim);
    });
  }

  // eslint-disable-next-line class-methods-use-this -- reads best beside its user
  #eventOf(isWanted: boolean, isOwned: boolean): string | undefined {
    if (isOwned) return isWanted ? 'WIN' : 'YIELD';
    return isWanted ? 'WANT' : 'LOSE';
  }

  // Orders of former owners hold memory until it is known that they cannot arrive: an engine that
  // checks numbers is given a new one; for the others their issuer must be known to be gone.
  #resolveFormer(): void {
    const members = this.#context.members();
    this.ledger.engines.forEach((engine, endpoint) => {
      if (!this.isOwner(endpoint)) return;
      const { fence } = engine.state;
      const former = engine.inFlightOrders.filter(({ issuer }) => issuer !== this.#context.life);
      const checksFencing = this.#context.view().endpoints.get(endpoint)?.checksFencing ?? false;
      const isOpen = former.some(({ state }) => state !== 'fenced');
      if (checksFencing && isOpen) {
        this.#reserve(endpoint, 'fence', '', 0, 'shut out orders of a former owner');
      }
      former
        .filter(({ issuer }) => DomainService.#isGone(issuer, members))
        .forEach(({ id: order }) => {
          const { life: incarnation } = this.#context;
          const quiet = { type: 'quiet', endpoint, order, fence, incarnation } as const;
          this.#submitOnce(`quiet ${order}`, { ...quiet, reason: 'issuerGone' });
        });
    });
  }

  // Only a process that left, or whose instance runs under another life, can be known to be over; a
  // silent one may be paused and wake.
  static #isGone(life: string, members: ReadonlyMap<string, Member>): boolean {
    const member = members.get(instanceOfBootId(life));
    if (!member || member.life === '') return false;
    return member.life !== life || member.state === 'left';
  }

  #place(): void {
    const { movesAtOnceMax, isLeaving } = this.#context;
    const view = this.#viewOf();
    const loading = [...this.ledger.engines.values()].reduce((sum, engine) => {
      const open = engine.liveOrders.filter(
        ({ action, state }) => action === 'load' && state === 'open',
      );
      return sum + open.length;
    }, 0);
    const budget = Math.max(0, movesAtOnceMax - loading);
    this.#plan = planPlacement(view.input(budget, (endpoint) => !isLeaving(endpoint)));
    this.#plan.moves
      .filter(({ engine }) => this.isOwner(engine))
      .forEach(({ engine, load, unload, reason, gain, alternatives }) => {
        unload.forEach((model) => this.#unload(engine, model, reason));
        const item = view.itemOf(load);
        if (!item || unload.length > 0) return;
        this.#reserve(engine, 'load', item.item, item.bytes, reason, { gain, alternatives });
      });
    this.#placeAdapters(view);
    this.#retireVersions(view);
  }

  #unload(endpoint: string, model: string, reason: string): void {
    const { residents } = this.ledger.engine(endpoint).state;
    Object.keys(residents)
      .filter((item) => modelOfItem(item) === model)
      .forEach((item) => this.#reserve(endpoint, 'unload', item, 0, reason));
  }

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

  // Old versions go once the wanted one can serve somewhere in the domain.
  #retireVersions(view: PlacementView): void {
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

  #reserve(
    endpoint: string,
    action: 'load' | 'unload' | 'fence',
    item: string,
    bytes: number,
    reason: string,
    weighed: { gain: number; alternatives: PlacementPlan['moves'][number]['alternatives'] } = {
      gain: 0,
      alternatives: [],
    },
  ): void {
    const key = `${action} ${endpoint} ${item}`;
    const engine = this.ledger.engine(endpoint);
    const isUnderWay = engine.liveOrders.some(
      (order) =>
        order.action === action &&
        order.item === item &&
        order.state === 'open' &&
        order.issuer === this.#context.life,
    );
    const nowMs = this.#context.nowMs();
    const triedMs = this.#triedMs.get(key) ?? -Infinity;
    if (isUnderWay || nowMs - triedMs < RESERVE_RETRY_MS) return;
    this.#triedMs.set(key, nowMs);
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
      mayVanish: model !== undefined && !this.#viewOf().mustStayResident(model),
      reason,
    });
    if (id === undefined) return;
    const record = { id, atMs: Date.now(), endpoint, action, item, reason, result: 'waiting' };
    this.moves.add({ ...record, ...weighed, orderedBy: this.#context.self });
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
