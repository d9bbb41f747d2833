import {
  isPlanner,
  LOAD_START_MS,
  lossWeight,
  ReturnTimes,
  UnloadTime,
} from '@chervilseam/decisions';
import type { OrderOutcome, RefusedCaller } from '@chervilseam/decisions';
import type { ServingConfig } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { Endpoint } from '../feed/endpoint.js';
import type { EndpointRegistry } from '../feed/endpoint-registry.js';
import { getOrCreate } from '../get-or-create.js';
import type { GatewaySettings } from '../gateway-settings.js';
import type { EndpointLoad } from '../peer/endpoint-load.js';
import type { InstanceState } from '../peer/instance-state.js';
import type { OwnedEngineState } from '../peer/owned-engine-state.js';
import type { AdapterLoadRequest } from '../peer/adapter-load-request.js';
import type { PeerSync } from '../peer/peer-sync.js';
import type { PeerTable } from '../peer/peer-table.js';
import type { CallerHead } from '../ports/caller-head.js';
import { priorityOf } from '../dispatch/priority-of.js';
import type { RunTarget } from '../dispatch/run-target.js';
import type { EngineCalls } from '../ports/engine-calls.js';
import { DemandMeter } from './demand-meter.js';
import type { EngineMove } from './engine-move.js';
import { EngineOwner } from './engine-owner.js';
import type { GroupMember } from './group-member.js';
import { Handover } from './handover.js';
import { PlacementLoop } from './placement-loop.js';
import { shareOf } from './share-of.js';

/** Length of a window over which demand is measured, in milliseconds. */
const DEMAND_WINDOW_MS = 250;
/** Time that the collected states of engines owned elsewhere are reused, in milliseconds. */
const STATES_CACHE_MS = 20;

/**
 * A request is latency-critical when its objective is below this fraction of the time to load its
 * model: an answer that waited for the load would be far too late.
 */
const URGENT_SHARE = 0.5;

/** Time by which a replica should be ready before callers return for it, in milliseconds. */
const RETURN_EARLY_MS = 1_500;

/** Dependencies of the fleet. */
interface FleetContext {
  readonly settings: GatewaySettings;
  readonly calls: EngineCalls;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  readonly registry: EndpointRegistry;
  readonly peers: PeerTable;
  readonly member: GroupMember;
  readonly sync: PeerSync;
  readonly config: () => ServingConfig | undefined;
  /** Models that queued requests of this instance wait for. */
  readonly awaited: () => readonly string[];
  /** Called with the outcome of each order that was sent. */
  readonly onOrder: (outcome: OrderOutcome) => void;
  /** Called when an engine announced in a report that it is about to exit. */
  readonly onLeaving: (endpoint: Endpoint) => void;
  /** Called with the time from the decision on a move to the order of its load, and until its model can serve. */
  readonly onMoved: (step: 'move_order' | 'move_ready', afterMs: number) => void;
  /** Called when the refused callers of a model should have returned, with whether a replica can serve them. */
  readonly onReturnDue: (isKept: boolean) => void;
  /** Called with the time that a round of placement planning took, in milliseconds. */
  readonly onPlanned: (busyMs: number) => void;
}

/**
 * Manages the engines in the shares that this instance owns, and knows the states of all other engines
 * that their owners published.
 */
export class EngineFleet {
  readonly demand: DemandMeter;
  readonly handover: Handover;
  /** When the callers whom this instance refused return, by model. */
  readonly #returns = new ReturnTimes();
  readonly #context: FleetContext;
  readonly #owners = new Map<
    string,
    { readonly endpoint: Endpoint; readonly owner: EngineOwner }
  >();
  readonly #placement: PlacementLoop;
  /** Duration of unloads by service, learned from the runs of this instance's requests. */
  readonly #unloadTimes = new Map<string, UnloadTime>();
  /** States of the engines that other instances own, as collected at `#othersMs`. */
  #othersStates = new Map<string, OwnedEngineState>();
  /** Loads that other instances have planned, as collected then: time until the model can serve. */
  #othersPlanned: Readonly<Record<string, number>> = {};
  #othersMs = -Infinity;
  #windowStartMs = 0;

  /** @param context - dependencies of the fleet */
  constructor(context: FleetContext) {
    this.#context = context;
    const { logger, nowMs, registry, settings } = context;
    this.demand = new DemandMeter(nowMs());
    this.handover = new Handover(settings.instance, nowMs());
    this.#placement = new PlacementLoop({
      logger,
      nowMs,
      endpoints: () => registry.all,
      endpointsOf: (service) => registry.ofService(service),
      endpoint: (id) => registry.get(id),
      engineState: (id) => this.stateOf(id),
      requestMove: (id, move) => this.#beginMoveThroughOwner(id, move),
      demand: () => context.peers.demandWith(this.ownDemand(), nowMs()),
      lossWeights: () =>
        context.peers.lossWeightsWith(this.ownDemand(), this.demand.lossWeights(), nowMs()),
      urgentModels: () =>
        new Set([...context.peers.urgentModels(nowMs()), ...this.demand.urgentModels(nowMs())]),
      lateAfterLoadModels: () =>
        new Set([
          ...context.peers.lateAfterLoadModels(nowMs()),
          ...this.demand.lateAfterLoadModels(nowMs()),
        ]),
      awaited: () => new Set([...context.peers.awaited(nowMs()), ...context.awaited()]),
      returning: () => new Set([...context.peers.returning(nowMs()), ...this.returning]),
      returningSoon: () =>
        new Set([...context.peers.returningSoon(nowMs()), ...this.returningSoon]),
      unloadMs: (endpoint, peerRuns, model) => this.#unloadMs(endpoint, peerRuns, model),
      peerLoads: () => context.peers.loads(nowMs()),
      loadWindowMs: settings.loadWindowMs,
      loadSlackRatio: settings.loadSlackRatio,
      onPlanned: context.onPlanned,
    });
  }

  /** Starts to manage engines that this instance has come to own, and advances the managed ones. */
  tick(): void {
    const { nowMs, registry, config } = this.#context;
    if (nowMs() - this.#windowStartMs >= DEMAND_WINDOW_MS) {
      this.#windowStartMs = nowMs();
      this.demand.tick(nowMs());
      this.#returns.expire(nowMs()).forEach((model) => this.#noteReturnDue(model));
    }
    this.#activatePendingShares();
    registry.all.forEach((endpoint) => {
      const spec = config()?.services.get(endpoint.record.service)?.engine;
      const managed = this.#owners.get(endpoint.id);
      const isManaged = managed?.endpoint === endpoint;
      if (spec && isManaged) managed.owner.updateSpec(spec);
      if (!spec || isManaged || this.#token(endpoint.id) === undefined) return;
      const owner = new EngineOwner(this.#ownerContext(endpoint), endpoint, spec);
      this.#owners.set(endpoint.id, { endpoint, owner });
    });
    this.#owners.forEach(({ endpoint, owner }, id) => {
      // The inventory kept here is valid only as long as no other instance may give orders.
      const isOwned = this.#token(id) !== undefined;
      if (!isOwned || endpoint.leftMs !== undefined) this.#owners.delete(id);
      else owner.tick();
    });
  }

  /** Records the published loads, and plans placement if this instance is the planner. */
  plan(): void {
    const config = this.#context.config();
    if (!config) return;
    this.#placement.observe(config);
    if (!this.#isPlanner()) return;
    this.#placement.tick(config).catch((error: Error) => {
      const fields = { error: error.message };
      this.#context.logger.error('plan_fault', 'a round of placement planning failed', fields);
    });
  }

  /**
   * Counts the work of a new request toward the demand for its model.
   *
   * @param head - the request
   * @param target - its route and service
   */
  recordRequest(head: CallerHead, target: RunTarget): void {
    const { engine } = target.service;
    // Callers may name any model; only those of the configuration can be placed.
    const model = engine?.models.get(head.model ?? '');
    if (!engine || !model) return;
    const { storeLoadMs: loadMs } = model;
    const { objectiveMs } = target.route;
    this.demand.recordRequest(head, engine.slotCount, {
      isUrgent: objectiveMs < URGENT_SHARE * loadMs,
      lossWeight: lossWeight(priorityOf(target)),
      isLateAfterLoad: objectiveMs < LOAD_START_MS + loadMs,
    });
  }

  /**
   * Takes back a part of the work that was counted for a request, because it is refused, and expects its caller to
   * return.
   *
   * @param head - the request
   * @param target - its route and service
   * @param caller - its caller's `Retry-After` and deadline
   */
  recordRefusal(head: CallerHead, { service }: RunTarget, caller: RefusedCaller): void {
    const { engine } = service;
    const model = engine?.models.get(head.model ?? '');
    if (!engine || !model) return;
    this.demand.recordRefusal(head, engine.slotCount);
    this.#returns.record(model.name, caller);
  }

  /**
   * Records that a request of this instance has ended at an endpoint.
   *
   * @param endpoint - the endpoint
   * @param durationMs - time since the request was sent there, in milliseconds
   */
  recordRunEnd({ record }: Endpoint, durationMs: number): void {
    getOrCreate(this.#unloadTimes, record.service, () => new UnloadTime()).record(durationMs);
  }

  /** @returns the state of an engine as its owner, this instance or another, reports it */
  stateOf(id: string): OwnedEngineState | undefined {
    const own = this.#activeOwner(id);
    if (own) return own.state;
    this.#collectOthers();
    return this.#othersStates.get(id);
  }

  /** @returns states of the engines owned here, for publication to the other instances */
  ownStates(): Record<string, OwnedEngineState> {
    const active = [...this.#owners].filter(([id]) => this.#activeOwner(id)?.isKnown);
    return Object.fromEntries(active.map(([id, { owner }]) => [id, owner.state]));
  }

  /** Models whose callers this instance refused and who have yet to return. */
  get returning(): readonly string[] {
    return this.#returns.models(this.#context.nowMs());
  }

  /** Those of them with a caller who returns before a load that begins now is done. */
  get returningSoon(): readonly string[] {
    return this.#returns.due(
      this.#context.nowMs(),
      (model) => LOAD_START_MS + this.#storeLoadMs(model) + RETURN_EARLY_MS,
    );
  }

  /** Expected time until each model that this instance has planned to load can serve, in milliseconds. */
  get planned(): Readonly<Record<string, number>> {
    return this.#placement.planned;
  }

  /**
   * @param model - a model that no engine holds
   * @returns expected time until it can serve, in milliseconds, if an instance has planned its load
   */
  plannedMs(model: string): number | undefined {
    this.#collectOthers();
    return this.planned[model] ?? this.#othersPlanned[model];
  }

  /** @returns demand of this instance's callers by model, in prompt-token equivalents per second */
  ownDemand(): Record<string, number> {
    return Object.fromEntries(this.demand.demand());
  }

  /**
   * Records the shares that an instance owns and the adapters that its requests used.
   *
   * @param state - the state of an instance, this one or another
   */
  receiveState(state: InstanceState): void {
    const { usedAdapters } = state;
    this.handover.receiveState(state);
    Object.entries(usedAdapters).forEach(([id, items]) =>
      this.#owners.get(id)?.owner.recordUse(items),
    );
  }

  /**
   * Loads an adapter on an engine that this instance owns.
   *
   * @param request - the adapter and the engine
   * @returns whether the adapter is ready
   */
  async loadAdapter({ endpoint, model, adapter, wasDenied }: AdapterLoadRequest): Promise<boolean> {
    const owner = this.#activeOwner(endpoint);
    if (!owner) return false;
    try {
      return await owner.loadAdapter(model, adapter, wasDenied);
    } catch (error) {
      const fields = { endpoint, model, adapter, error: (error as Error).message };
      this.#context.logger.error('adapter_fault', 'an order to load an adapter failed', fields);
      return false;
    }
  }

  /**
   * Has the engine's owner, this instance or another, load an adapter.
   *
   * @param endpoint - the engine
   * @param model - the adapter's model
   * @param adapter - the adapter
   * @returns whether the adapter is ready
   */
  async loadAdapterThroughOwner(
    endpoint: Endpoint,
    model: string,
    adapter: string,
  ): Promise<boolean> {
    const { nowMs, peers, sync, settings } = this.#context;
    const item = `${model}/${adapter}`;
    const wasDenied = endpoint.isMissing(item, nowMs());
    const request = { endpoint: endpoint.id, model, adapter, wasDenied };
    if (this.#activeOwner(endpoint.id)) return this.loadAdapter(request);
    const owner = peers.ownerOf(shareOf(endpoint.id, settings.shareCount), nowMs());
    return owner ? sync.loadAdapter({ host: owner.host, port: owner.port }, request) : false;
  }

  /**
   * Begins a change of the models on an engine that this instance owns.
   *
   * @param endpoint - the engine
   * @param move - what to load and unload
   * @returns whether it was begun
   */
  beginMove(endpoint: string, move: EngineMove): boolean {
    return this.#activeOwner(endpoint)?.beginMove(move) ?? false;
  }

  #beginMoveThroughOwner(endpoint: string, move: EngineMove): void {
    const { nowMs, peers, sync, settings } = this.#context;
    if (this.beginMove(endpoint, move)) return;
    const owner = peers.ownerOf(shareOf(endpoint, settings.shareCount), nowMs());
    if (owner) sync.beginMove({ host: owner.host, port: owner.port }, endpoint, move);
  }

  // Time to load a model from the weight store, in milliseconds; 0 for one that no service has.
  #storeLoadMs(model: string): number {
    const services = [...(this.#context.config()?.services.values() ?? [])];
    return Math.max(
      0,
      ...services.map(({ engine }) => engine?.models.get(model)?.storeLoadMs ?? 0),
    );
  }

  #noteReturnDue(model: string): void {
    const { registry, logger, onReturnDue } = this.#context;
    const isKept = registry.all.some(({ id }) => this.stateOf(id)?.models.includes(model) === true);
    onReturnDue(isKept);
    if (isKept) return;
    logger.info('return_unkept', 'a model has no replica though its callers’ Retry-After is over', {
      model,
    });
  }

  #collectOthers(): void {
    const { nowMs, peers } = this.#context;
    if (nowMs() - this.#othersMs <= STATES_CACHE_MS) return;
    this.#othersStates = peers.engines(nowMs());
    this.#othersPlanned = peers.planned(nowMs());
    this.#othersMs = nowMs();
  }

  // Expected time to unload a model from an engine, in milliseconds.
  #unloadMs(endpoint: Endpoint, peerRuns: EndpointLoad['runs'], model: string): number {
    const runCount = endpoint.runCount(model) + (peerRuns?.[model] ?? 0);
    const time = this.#unloadTimes.get(endpoint.record.service) ?? new UnloadTime();
    return time.estimateMs(runCount);
  }

  #isPlanner(): boolean {
    const { nowMs, peers, member, settings } = this.#context;
    const { shares } = member;
    if (member.hasLapsed || shares.length === 0) return false;
    const others = peers
      .fresh(nowMs())
      .filter((state) => !state.hasLapsed && state.shares.length > 0)
      .map((state) => ({ processorShare: state.processorShare ?? 0, shares: state.shares }));
    return isPlanner({ processorShare: settings.processorShare, shares }, others);
  }

  // Makes pending shares usable as soon as their previous owners are known to have stopped.
  #activatePendingShares(): void {
    const { nowMs, peers, member, settings } = this.#context;
    const { pendingShares } = member;
    if (pendingShares.length === 0) return;
    const states = peers.fresh(nowMs());
    pendingShares.forEach(({ share, token, usableFromMs }) => {
      const lastOrderMs = this.handover.lastOrderMs(share, token, states, nowMs());
      if (lastOrderMs !== undefined) member.markReleased(share, token, lastOrderMs);
      const untilMs = usableFromMs - settings.handoverMs;
      this.handover.recordWait(share, token, Math.min(untilMs, lastOrderMs ?? untilMs));
    });
  }

  #token(id: string): number | undefined {
    const { member, settings } = this.#context;
    return member.tokenOf(shareOf(id, settings.shareCount));
  }

  #activeOwner(id: string): EngineOwner | undefined {
    const entry = this.#owners.get(id);
    return entry && this.#token(id) !== undefined ? entry.owner : undefined;
  }

  #ownerContext(endpoint: Endpoint): ConstructorParameters<typeof EngineOwner>[0] {
    const { settings, calls, logger, nowMs, onOrder, onLeaving, onMoved, sync } = this.#context;
    return {
      instance: settings.instance,
      calls,
      logger,
      nowMs,
      token: () => this.#token(endpoint.id),
      onLeaving: () => onLeaving(endpoint),
      onChanged: () => sync.noteUrgent(),
      onMoved,
      onSend: () => {
        const share = shareOf(endpoint.id, settings.shareCount);
        const end = this.handover.beginOrder(share, nowMs() + calls.orderTimeoutMs);
        return (outcome) => {
          end(nowMs());
          onOrder(outcome);
        };
      },
    };
  }
}
