import { chooseEndpoint, fitsEngineMemory, hashOf, prefillLimitMs } from '@chervilseam/decisions';
import type { EngineSpec, ModelSpec } from '@chervilseam/model';
import type { Endpoint } from '../feed/endpoint.js';
import { PickReason } from './pick-reason.js';
import type { PickRequirements } from './pick-requirements.js';
import type { PickResult } from './pick-result.js';
import { loadTimeMs } from '../owner/load-time-ms.js';
import type { EndpointLoad } from '../peer/endpoint-load.js';
import type { OwnedEngineState } from '../peer/owned-engine-state.js';

/** Number of requests that an endpoint of a plain service may queue beyond its slots. */
const PLAIN_QUEUE_MAX = 2;
/**
 * Ratio of the mean time between events to the route's maximum (`paceMaxMs`) above which an endpoint
 * gets fewer requests than it has slots.
 */
const INTER_EVENT_RATIO = 0.55;
/** Smallest fraction of a slow endpoint's slots that is used. */
const SLOT_RATIO_MIN = 0.15;
/** Fraction of an endpoint's connection limit that is divided evenly between the instances. */
const CONNECTION_RATIO = 0.9;
/**
 * Estimated time until an engine starts to load another model, in milliseconds; the engine is assumed
 * to be busy.
 */
const LOAD_START_DELAY_MS = 900;

/** Dependencies of the picker. */
interface PickerContext {
  readonly failureDomain: string;
  readonly nowMs: () => number;
  /** @returns a random number from 0 up to 1 */
  readonly randomUnit: () => number;
  readonly endpointsOf: (service: string) => readonly Endpoint[];
  /** Requests of other instances that are in flight at an endpoint. */
  readonly peerLoad: (endpoint: string) => EndpointLoad;
  /** State of an engine as its owner reported it recently; `undefined` without such a report. */
  readonly engineState: (endpoint: string) => OwnedEngineState | undefined;
  /** Expected time until a model whose load is planned can serve, in milliseconds; `undefined` if none is. */
  readonly plannedMs: (model: string) => number | undefined;
  /** Number of instances that divide the endpoints' connections, including this one. */
  readonly instanceCount: () => number;
}

/** `Retry-After` when the service has no endpoint or does not know the model, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 1_000;

// Rank of an engine for loading an adapter: a hash, so that all instances ask the engines in the same
// order.
const rankOf = (endpoint: string, item: string): number => hashOf(`${item}@${endpoint}`);

const nameOf = ({ name }: { readonly name: string }): string => name;

/** Chooses the endpoint for a request, or how else the request is handled. */
export class EndpointPicker {
  readonly #context: PickerContext;

  /** @param context - dependencies of the picker */
  constructor(context: PickerContext) {
    this.#context = context;
  }

  /**
   * @param requirements - what the endpoint must provide
   * @returns where to send the request, or why it has to wait or is refused
   */
  pick(requirements: PickRequirements): PickResult {
    const { endpointsOf } = this.#context;
    const active = endpointsOf(requirements.service.name).filter(({ isLeaving }) => !isLeaving);
    if (active.length === 0) {
      return { kind: 'refuse', reason: 'no endpoint', retryAfterMs: NO_ENDPOINT_RETRY_MS };
    }
    const { engine } = requirements.service;
    if (!engine || requirements.model === undefined) {
      return this.#chooseAccepting(active, requirements);
    }
    return this.#pickEngine(active, requirements, engine, requirements.model);
  }

  #pickEngine(
    active: readonly Endpoint[],
    requirements: PickRequirements,
    engine: EngineSpec,
    model: string,
  ): PickResult {
    const { nowMs, engineState } = this.#context;
    if (!engine.models.has(model)) {
      return { kind: 'refuse', reason: 'unknown model', retryAfterMs: NO_ENDPOINT_RETRY_MS };
    }
    const holders = active.filter((holder) => {
      if (holder.health.isUnreachable(nowMs()) || holder.isMissing(model, nowMs())) return false;
      // The state that the owner reported is seconds newer than the endpoint's record in the list.
      const models = engineState(holder.id)?.models ?? holder.record.models.map(nameOf);
      return models.includes(model);
    });
    if (holders.length === 0) {
      return {
        kind: 'wait',
        reason: PickReason.model,
        etaMs: this.#loadEtaMs(active, model, engine),
      };
    }
    const { adapter } = requirements;
    if (adapter === undefined) return this.#chooseAccepting(holders, requirements);
    const accepting = this.#accepting(holders);
    if (accepting.length === 0) return this.#backoffWait(holders);
    return this.#pickAdapter(accepting, requirements, `${model}/${adapter}`);
  }

  // Those of some endpoints that have not asked to retry later.
  #accepting(endpoints: readonly Endpoint[]): readonly Endpoint[] {
    const nowMs = this.#context.nowMs();
    return endpoints.filter((endpoint) => endpoint.acceptsRequests(nowMs));
  }

  // All endpoints that could serve the request ask to retry later.
  #backoffWait(endpoints: readonly Endpoint[]): PickResult {
    const nowMs = this.#context.nowMs();
    const etaMs = Math.min(...endpoints.map(({ backoff }) => backoff.leftMs(nowMs)));
    return { kind: 'wait', reason: PickReason.backoff, etaMs };
  }

  #chooseAccepting(endpoints: readonly Endpoint[], requirements: PickRequirements): PickResult {
    const accepting = this.#accepting(endpoints);
    return accepting.length > 0
      ? this.#choose(accepting, requirements)
      : this.#backoffWait(endpoints);
  }

  #pickAdapter(
    holders: readonly Endpoint[],
    requirements: PickRequirements,
    item: string,
  ): PickResult {
    const { nowMs } = this.#context;
    const ready = holders.filter(
      (endpoint) => this.#hasAdapter(endpoint, item) && !endpoint.isMissing(item, nowMs()),
    );
    const choice = this.#choose(ready, requirements);
    if (choice.kind === 'send' && !choice.endpoint.health.isPaused(nowMs())) return choice;
    const loadable = holders
      .filter((endpoint) => !ready.includes(endpoint) && !requirements.tried.has(endpoint.id))
      .filter(
        (endpoint) =>
          !endpoint.health.isPaused(nowMs()) && this.#isAvailable(endpoint, requirements),
      )
      .filter((endpoint) => this.#mayLoadAdapter(endpoint, item))
      .sort((left, right) => rankOf(left.id, item) - rankOf(right.id, item));
    if (loadable.length > 0) return { kind: 'prepare', endpoints: loadable };
    if (choice.kind === 'send' || ready.length > 0) return choice;
    return { kind: 'wait', reason: PickReason.adapter, etaMs: 0 };
  }

  #choose(candidates: readonly Endpoint[], requirements: PickRequirements): PickResult {
    const { nowMs, randomUnit, failureDomain } = this.#context;
    const untried = candidates.filter(({ id }) => !requirements.tried.has(id));
    const available = untried.filter((endpoint) => this.#isAvailable(endpoint, requirements));
    const choice = chooseEndpoint(
      available.map((endpoint) => ({
        id: endpoint.id,
        outstandingCount: this.#outstandingCount(endpoint),
        slotCount: endpoint.record.slotCount,
        isPaused: endpoint.health.isPaused(nowMs()),
        failureCount: endpoint.health.failureCount(nowMs()),
        prefillMs: endpoint.prefillSpeed.prefillMs(this.readTokenCount(endpoint, requirements)),
        latencyMs: endpoint.health.latencyMs(nowMs()),
        interEventMs: endpoint.health.interEventMs(nowMs()),
        isLocal: endpoint.record.failureDomain === failureDomain,
      })),
      randomUnit(),
      requirements.isSuspect,
    );
    const endpoint = choice && available.find(({ id }) => id === choice.id);
    if (endpoint) {
      const readTokenCount = this.readTokenCount(endpoint, requirements);
      return { kind: 'send', endpoint, candidateCount: available.length, readTokenCount };
    }
    return {
      kind: 'wait',
      reason: this.#waitReason(untried, requirements),
      etaMs: 0,
      nextReplicaMs: this.#nextReplicaMs(requirements),
      placeCount: untried.reduce((sum, { record }) => sum + record.slotCount, 0),
    };
  }

  /** @returns number of prompt tokens that an endpoint prefills before a request's first event */
  readTokenCount(endpoint: Endpoint, { promptTokenCount }: PickRequirements): number {
    const { unreadTokenCount } = this.#context.peerLoad(endpoint.id);
    return endpoint.unreadTokenCount + unreadTokenCount + promptTokenCount;
  }

  // A prompt with no other ahead of it is always sent.
  #isPrefillInTime(endpoint: Endpoint, requirements: PickRequirements): boolean {
    const tokenCount = this.readTokenCount(endpoint, requirements);
    if (tokenCount === requirements.promptTokenCount) return true;
    return endpoint.prefillSpeed.prefillMs(tokenCount) <= prefillLimitMs(requirements);
  }

  #outstandingCount(endpoint: Endpoint): number {
    return endpoint.inFlightCount + this.#context.peerLoad(endpoint.id).count;
  }

  // An endpoint with slow streams gets fewer concurrent requests.
  #slotRatio({ health }: Endpoint, paceMaxMs: number): number {
    const interEventMs = health.interEventMs(this.#context.nowMs());
    return Math.max(
      SLOT_RATIO_MIN,
      Math.min(1, (INTER_EVENT_RATIO * paceMaxMs) / Math.max(1, interEventMs)),
    );
  }

  #waitReason(untried: readonly Endpoint[], requirements: PickRequirements): PickReason {
    if (untried.length === 0) return PickReason.tried;
    const withSlot = untried.filter((endpoint) => this.#hasFreeSlot(endpoint, requirements));
    if (withSlot.length === 0) return PickReason.full;
    const hasMemory = withSlot.some((endpoint) => this.#hasMemory(endpoint, requirements));
    return hasMemory ? PickReason.prefill : PickReason.memory;
  }

  #isAvailable(endpoint: Endpoint, requirements: PickRequirements): boolean {
    if (!this.#hasFreeSlot(endpoint, requirements)) return false;
    if (!requirements.service.engine) return true;
    return this.#hasMemory(endpoint, requirements) && this.#isPrefillInTime(endpoint, requirements);
  }

  #hasMemory(endpoint: Endpoint, requirements: PickRequirements): boolean {
    const { service, promptTokenCount, outputTokenCountMax } = requirements;
    const { heldTokenCount = 0 } = this.#context.peerLoad(endpoint.id);
    return fitsEngineMemory({
      heldCount: this.#outstandingCount(endpoint),
      heldTokenCount: endpoint.heldTokenCount + heldTokenCount,
      tokenCount: promptTokenCount + outputTokenCountMax,
      kvTokenCount: service.engine?.kvTokenCount ?? Infinity,
    });
  }

  #hasFreeSlot(endpoint: Endpoint, requirements: PickRequirements): boolean {
    const { service, paceMaxMs, slotShare = 1 } = requirements;
    const queueMax = service.engine ? 0 : PLAIN_QUEUE_MAX;
    const connections = CONNECTION_RATIO * service.connectionCountMax;
    const inFlightMax = Math.max(1, Math.floor(connections / this.#context.instanceCount()));
    const slotRatio = this.#slotRatio(endpoint, paceMaxMs) * (service.engine ? slotShare : 1);
    const slots = endpoint.record.slotCount * slotRatio;
    const hasRoom = this.#outstandingCount(endpoint) < slots + queueMax;
    return hasRoom && endpoint.inFlightCount < inFlightMax;
  }

  // An engine that reported the adapter missing may be asked to load it; one that recently failed to
  // load it, or is loading or unloading a model, may not.
  #mayLoadAdapter(endpoint: Endpoint, item: string): boolean {
    const { engineState, nowMs } = this.#context;
    if (engineState(endpoint.id)?.isBusy === true) return false;
    return !endpoint.isMissing(`load ${item}`, nowMs());
  }

  #hasAdapter(endpoint: Endpoint, item: string): boolean {
    const state = this.#context.engineState(endpoint.id);
    if (state) return state.adapters.includes(item);
    const [model, adapter] = item.split('/');
    const loaded = endpoint.record.models.find(({ name }) => name === model);
    return loaded?.adapters.includes(adapter) ?? false;
  }

  #nextReplicaMs({ service, model }: PickRequirements): number | undefined {
    const remaining = this.#context
      .endpointsOf(service.name)
      .flatMap(({ id }) => this.#context.engineState(id)?.loading ?? [])
      .flatMap((load) => (load.model === model ? [load.remainingMs] : []));
    return remaining.length > 0 ? Math.min(...remaining) : undefined;
  }

  // Time until the first engine could serve the model, in milliseconds: the rest of a load that is planned or in
  // progress, or a new load from the nearest copy of the weights.
  #loadEtaMs(active: readonly Endpoint[], model: string, engine: EngineSpec): number {
    const { engineState, plannedMs } = this.#context;
    const spec = engine.models.get(model) as ModelSpec;
    const begunMs = active.flatMap(({ id }) =>
      (engineState(id)?.loading ?? []).flatMap((load) =>
        load.model === model ? load.remainingMs : [],
      ),
    );
    if (begunMs.length > 0) return Math.min(...begunMs);
    const newLoadMs = Math.min(...active.map(({ record }) => loadTimeMs(record, spec)));
    return plannedMs(model) ?? LOAD_START_DELAY_MS + newLoadMs;
  }
}
