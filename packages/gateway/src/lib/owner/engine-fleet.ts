import type { OrderOutcome } from '@chervilseam/decisions';
import type { ServingConfig } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { Endpoint } from '../feed/endpoint.js';
import type { EndpointRegistry } from '../feed/endpoint-registry.js';
import type { GatewaySettings } from '../gateway-settings.js';
import type { InstanceState } from '../peer/instance-state.js';
import type { OwnedEngineState } from '../peer/owned-engine-state.js';
import type { AdapterWish } from '../peer/adapter-wish.js';
import type { PeerSync } from '../peer/peer-sync.js';
import type { PeerTable } from '../peer/peer-table.js';
import type { CallerHead } from '../ports/caller-head.js';
import type { RunTarget } from '../dispatch/run-target.js';
import type { EngineCalls } from '../ports/engine-calls.js';
import { DemandMeter } from './demand-meter.js';
import type { EngineMove } from './engine-move.js';
import { EngineOwner } from './engine-owner.js';
import type { GroupMember } from './group-member.js';
import { Handover } from './handover.js';
import { PlacementLoop } from './placement-loop.js';
import { shareOf } from './share-of.js';

/** Time between two windows of demand, in milliseconds. */
const DEMAND_MS = 250;
/** States of others are looked up again after this, in milliseconds. */
const STATES_MS = 20;

/** An answer wanted within this part of a load's time would be late by far after a load. */
const URGENT_SHARE = 0.5;

/** What the fleet needs around it. */
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
  /** Models that requests of this instance wait for. */
  readonly awaited: () => readonly string[];
  readonly onOrder: (outcome: OrderOutcome) => void;
}

/** The engines: those that this instance gives orders to, and what is known of the others. */
export class EngineFleet {
  readonly demand: DemandMeter;
  readonly handover: Handover;
  readonly #context: FleetContext;
  readonly #owners = new Map<
    string,
    { readonly endpoint: Endpoint; readonly owner: EngineOwner }
  >();
  readonly #placement: PlacementLoop;
  #othersStates = new Map<string, OwnedEngineState>();
  #othersMs = -Infinity;
  #demandMs = 0;

  /** @param context - what the fleet needs around it */
  constructor(context: FleetContext) {
    this.#context = context;
    const { logger, nowMs, registry, settings } = context;
    this.demand = new DemandMeter(nowMs());
    this.handover = new Handover(settings.instance);
    this.#placement = new PlacementLoop({
      logger,
      nowMs,
      endpointsOf: (service) => registry.ofService(service),
      endpoint: (id) => registry.get(id),
      engineState: (id) => this.stateOf(id),
      begin: (id, move) => this.#beginThroughOwner(id, move),
      demand: () => context.peers.demandWith(this.ownDemand(), nowMs()),
      urgentModels: () =>
        new Set([...context.peers.urgentModels(nowMs()), ...this.demand.urgentModels(nowMs())]),
      awaited: () => new Set([...context.peers.awaited(nowMs()), ...context.awaited()]),
      loadWindowMs: settings.loadWindowMs,
      loadSlackRatio: settings.loadSlackRatio,
    });
  }

  /** Takes up engines that this instance owns now and goes on with those it has. */
  tick(): void {
    const { nowMs, registry, config } = this.#context;
    if (nowMs() - this.#demandMs >= DEMAND_MS) {
      this.#demandMs = nowMs();
      this.demand.tick(nowMs());
    }
    this.#takeOver();
    registry.all.forEach((endpoint) => {
      const spec = config()?.services.get(endpoint.record.service)?.engine;
      const isKnown = this.#owners.get(endpoint.id)?.endpoint === endpoint;
      if (!spec || isKnown || this.#token(endpoint.id) === undefined) return;
      const owner = new EngineOwner(this.#ownerContext(endpoint), endpoint, spec);
      this.#owners.set(endpoint.id, { endpoint, owner });
    });
    this.#owners.forEach(({ endpoint, owner }, id) => {
      // What is counted holds only as long as no other instance may give orders.
      const isOwned = this.#token(id) !== undefined;
      if (!isOwned || endpoint.leftMs !== undefined) this.#owners.delete(id);
      else owner.tick();
    });
  }

  /** Plans placement, if that falls to this instance. */
  plan(): void {
    const config = this.#context.config();
    if (!config) return;
    this.#placement.observe(config);
    if (this.#isPlanner()) this.#placement.tick(config);
  }

  /**
   * Counts a request for a model.
   *
   * @param head - what the caller asks for
   * @param target - its route and service
   */
  asked(head: CallerHead, { route, service }: RunTarget): void {
    const { engine } = service;
    if (!engine) return;
    const loadMs = engine.models.get(head.model ?? '')?.storeLoadMs ?? 0;
    this.demand.asked(head, engine.slotCount, route.objectiveMs < URGENT_SHARE * loadMs);
  }

  /**
   * Takes back a part of what a request that is refused was counted for.
   *
   * @param head - what the caller asked for
   * @param target - its route and service
   */
  refused(head: CallerHead, { service }: RunTarget): void {
    if (service.engine) this.demand.refused(head, service.engine.slotCount);
  }

  /** @returns what the owner of an engine tells of it, this instance or another */
  stateOf(id: string): OwnedEngineState | undefined {
    const own = this.#activeOwner(id);
    if (own) return own.state;
    const { nowMs, peers } = this.#context;
    if (nowMs() - this.#othersMs > STATES_MS) {
      this.#othersStates = peers.engines(nowMs());
      this.#othersMs = nowMs();
    }
    return this.#othersStates.get(id);
  }

  /** @returns what the other instances are told of the engines owned here */
  ownStates(): Record<string, OwnedEngineState> {
    const active = [...this.#owners].filter(([id]) => this.#activeOwner(id)?.isKnown);
    return Object.fromEntries(active.map(([id, { owner }]) => [id, owner.state]));
  }

  /** @returns demand of this instance's callers by model */
  ownDemand(): Record<string, number> {
    return Object.fromEntries(this.demand.demand());
  }

  /** @param state - the state of an instance: the adapters that its requests used */
  hear(state: InstanceState): void {
    const { usedAdapters } = state;
    this.handover.hear(state);
    Object.entries(usedAdapters).forEach(([id, items]) => this.#owners.get(id)?.owner.used(items));
  }

  /**
   * Loads an adapter on an engine that this instance owns.
   *
   * @param wish - what to load where
   * @returns whether it can serve now
   */
  async prepare({ endpoint, model, adapter, wasDenied }: AdapterWish): Promise<boolean> {
    const owner = this.#activeOwner(endpoint);
    if (!owner) return false;
    return owner.prepare(model, adapter, wasDenied);
  }

  /**
   * Loads an adapter through the engine's owner.
   *
   * @param endpoint - the engine
   * @param model - the adapter's model
   * @param adapter - the adapter
   * @returns whether it can serve now
   */
  async prepareThroughOwner(endpoint: Endpoint, model: string, adapter: string): Promise<boolean> {
    const { nowMs, peers, sync, settings } = this.#context;
    const item = `${model}/${adapter}`;
    const wasDenied = endpoint.lacks(item, nowMs());
    const wish = { endpoint: endpoint.id, model, adapter, wasDenied };
    if (this.#activeOwner(endpoint.id)) return this.prepare(wish);
    const owner = peers.ownerOf(shareOf(endpoint.id, settings.shareCount), nowMs());
    return owner ? sync.prepare({ host: owner.host, port: owner.port }, wish) : false;
  }

  /**
   * Begins a change of the models on an engine that this instance owns.
   *
   * @param endpoint - the engine
   * @param move - what to load and unload
   * @returns whether it was begun
   */
  begin(endpoint: string, move: EngineMove): boolean {
    return this.#activeOwner(endpoint)?.begin(move) ?? false;
  }

  #beginThroughOwner(endpoint: string, move: EngineMove): void {
    const { nowMs, peers, sync, settings } = this.#context;
    if (this.begin(endpoint, move)) return;
    const owner = peers.ownerOf(shareOf(endpoint, settings.shareCount), nowMs());
    if (owner) sync.begin({ host: owner.host, port: owner.port }, endpoint, move);
  }

  // The owner of the lowest share plans for all: two planners would answer the same demand twice.
  #isPlanner(): boolean {
    const { nowMs, peers, member } = this.#context;
    if (member.hasLapsed || member.shares.length === 0) return false;
    const lowest = Math.min(...member.shares);
    const others = peers.fresh(nowMs()).filter(({ hasLapsed }) => !hasLapsed);
    return others.flatMap(({ shares }) => shares).every((share) => share > lowest);
  }

  // Shares are waited for only as long as the owner before may still act.
  #takeOver(): void {
    const { nowMs, peers, member } = this.#context;
    const { waiting } = member;
    if (waiting.length === 0) return;
    const states = peers.fresh(nowMs());
    waiting.forEach(({ share, token }) => {
      const lastActMs = this.handover.lastActMs(share, token, states, nowMs());
      if (lastActMs !== undefined) member.released(share, token, lastActMs);
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
    const { settings, calls, logger, nowMs, onOrder } = this.#context;
    return {
      instance: settings.instance,
      calls,
      logger,
      nowMs,
      token: () => this.#token(endpoint.id),
      onOrder: (outcome) => {
        this.handover.ordered(shareOf(endpoint.id, settings.shareCount), nowMs());
        onOrder(outcome);
      },
    };
  }
}
