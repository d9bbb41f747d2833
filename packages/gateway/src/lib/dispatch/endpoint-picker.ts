import { chooseEndpoint, hashOf } from '@chervilseam/decisions';
import type { EngineSpec, ModelSpec } from '@chervilseam/model';
import type { Endpoint } from '../feed/endpoint.js';
import type { PickNeed } from './pick-need.js';
import { PickReason } from './pick-reason.js';
import type { Pick } from './pick.js';
import { loadTimeMs } from '../owner/load-time-ms.js';
import type { EndpointLoad } from '../peer/endpoint-load.js';
import type { OwnedEngineState } from '../peer/owned-engine-state.js';

/** Requests that a plain service may queue beyond its places; a count. */
const PLAIN_QUEUE_COUNT = 2;
/** Part of the longest pause on time that the mean pause may reach before places are withheld. */
const PACE_SHARE = 0.55;
/** Least share of its places that a slow engine offers. */
const SLOT_SHARE_MIN = 0.15;
/** Part of its objective that the prompts ahead of a request and its own may take to be read. */
const READ_SHARE = 0.8;
/** Part of an endpoint's connections that instances divide among themselves. */
const CONNECTION_SHARE = 0.9;
/** Time that a busy engine needs before it begins another load, in milliseconds. */
const LOAD_NOTICE_MS = 900;

/** What the choice rests on. */
interface PickerContext {
  readonly failureDomain: string;
  readonly nowMs: () => number;
  /** @returns a random number from 0 up to 1 */
  readonly randomUnit: () => number;
  readonly endpointsOf: (service: string) => readonly Endpoint[];
  /** What other instances have under way at an endpoint. */
  readonly othersLoad: (endpoint: string) => EndpointLoad;
  readonly engineState: (endpoint: string) => OwnedEngineState | undefined;
  /** Instances that share the endpoints' connections; a count. */
  readonly instanceCount: () => number;
}

/** Time after which a caller without any endpoint is to come back, in milliseconds. */
const NO_ENDPOINT_RETRY_MS = 1_000;

// The order in which engines are asked for an adapter is the same at every instance.
const rankOf = (endpoint: string, item: string): number => hashOf(`${item}@${endpoint}`);

const nameOf = ({ name }: { readonly name: string }): string => name;

/** Chooses where a request goes. */
export class EndpointPicker {
  readonly #context: PickerContext;

  /** @param context - what the choice rests on */
  constructor(context: PickerContext) {
    this.#context = context;
  }

  /**
   * @param need - what the request needs
   * @returns what is to be done
   */
  pick(need: PickNeed): Pick {
    const { endpointsOf } = this.#context;
    const live = endpointsOf(need.service.name).filter(({ isLeaving }) => !isLeaving);
    if (live.length === 0) {
      return { kind: 'refuse', reason: 'no endpoint', retryAfterMs: NO_ENDPOINT_RETRY_MS };
    }
    const { engine } = need.service;
    if (!engine || need.model === undefined) return this.#choose(live, need);
    return this.#pickEngine(live, need, engine, need.model);
  }

  #pickEngine(live: readonly Endpoint[], need: PickNeed, engine: EngineSpec, model: string): Pick {
    const { nowMs, engineState } = this.#context;
    if (!engine.models.has(model)) {
      return { kind: 'refuse', reason: 'unknown model', retryAfterMs: NO_ENDPOINT_RETRY_MS };
    }
    const holders = live.filter((endpoint) => {
      if (endpoint.health.isUnreachable(nowMs()) || endpoint.lacks(model, nowMs())) return false;
      // The owner knows seconds before the list.
      const models = engineState(endpoint.id)?.models ?? endpoint.record.models.map(nameOf);
      return models.includes(model);
    });
    if (holders.length === 0) {
      return {
        kind: 'wait',
        reason: PickReason.model,
        etaMs: this.#loadEtaMs(live, model, engine),
      };
    }
    if (need.adapter === undefined) return this.#choose(holders, need);
    return this.#pickAdapter(holders, need, `${model}/${need.adapter}`);
  }

  #pickAdapter(holders: readonly Endpoint[], need: PickNeed, item: string): Pick {
    const { nowMs } = this.#context;
    const ready = holders.filter(
      (endpoint) => this.#hasAdapter(endpoint, item) && !endpoint.lacks(item, nowMs()),
    );
    const choice = this.#choose(ready, need);
    if (choice.kind === 'send' && !choice.endpoint.health.isPaused(nowMs())) return choice;
    const others = holders
      .filter((endpoint) => !ready.includes(endpoint) && !need.tried.has(endpoint.id))
      .filter((endpoint) => !endpoint.health.isPaused(nowMs()) && this.#hasPlace(endpoint, need))
      .filter((endpoint) => this.#takesAdapters(endpoint, item))
      .sort((left, right) => rankOf(left.id, item) - rankOf(right.id, item));
    if (others.length > 0) return { kind: 'prepare', endpoints: others };
    if (choice.kind === 'send' || ready.length > 0) return choice;
    return { kind: 'wait', reason: PickReason.adapter, etaMs: 0 };
  }

  #choose(candidates: readonly Endpoint[], need: PickNeed): Pick {
    const { nowMs, randomUnit, failureDomain } = this.#context;
    const fresh = candidates.filter(({ id }) => !need.tried.has(id));
    const open = fresh.filter((endpoint) => this.#hasPlace(endpoint, need));
    const choice = chooseEndpoint(
      open.map((endpoint) => ({
        id: endpoint.id,
        outstandingCount: this.#outstanding(endpoint),
        slotCount: endpoint.record.slotCount,
        isPaused: endpoint.health.isPaused(nowMs()),
        failureCount: endpoint.health.failureCount(nowMs()),
        readMs: endpoint.readSpeed.timeMs(this.readTokenCount(endpoint, need)),
        latencyMs: endpoint.health.latencyMs(nowMs()),
        paceMs: endpoint.health.paceMs(nowMs()),
        isLocal: endpoint.record.failureDomain === failureDomain,
      })),
      randomUnit(),
    );
    const endpoint = choice && open.find(({ id }) => id === choice.id);
    if (endpoint) {
      const readTokenCount = this.readTokenCount(endpoint, need);
      return { kind: 'send', endpoint, candidateCount: open.length, readTokenCount };
    }
    const reason = fresh.length === 0 ? PickReason.tried : PickReason.full;
    return { kind: 'wait', reason, etaMs: 0, reliefMs: this.#reliefMs(need) };
  }

  /** @returns prompt tokens that an endpoint reads up to the first event of a request; a count */
  readTokenCount(endpoint: Endpoint, { promptTokenCount }: PickNeed): number {
    const { unreadTokenCount } = this.#context.othersLoad(endpoint.id);
    return endpoint.unreadTokenCount + unreadTokenCount + promptTokenCount;
  }

  // Prompts that arrive at once are read one after the other, and until then every stream of the
  // engine stands nearly still: no more are sent than can be read while an answer is on time.
  #isReadInTime(endpoint: Endpoint, need: PickNeed): boolean {
    const tokenCount = this.readTokenCount(endpoint, need);
    if (tokenCount === need.promptTokenCount) return true;
    return endpoint.readSpeed.timeMs(tokenCount) <= READ_SHARE * need.objectiveMs;
  }

  #outstanding(endpoint: Endpoint): number {
    return endpoint.ownCount + this.#context.othersLoad(endpoint.id).count;
  }

  // An engine whose streams have become slow takes fewer at a time.
  #slotShare({ health }: Endpoint, paceMaxMs: number): number {
    const paceMs = health.paceMs(this.#context.nowMs());
    return Math.max(SLOT_SHARE_MIN, Math.min(1, (PACE_SHARE * paceMaxMs) / Math.max(1, paceMs)));
  }

  #hasPlace(endpoint: Endpoint, need: PickNeed): boolean {
    const { service, paceMaxMs } = need;
    if (service.engine && !this.#isReadInTime(endpoint, need)) return false;
    const queueCount = service.engine ? 0 : PLAIN_QUEUE_COUNT;
    const connections = CONNECTION_SHARE * service.connectionCountMax;
    const ownMax = Math.max(1, Math.floor(connections / this.#context.instanceCount()));
    const slots = endpoint.record.slotCount * this.#slotShare(endpoint, paceMaxMs);
    const isRoom = this.#outstanding(endpoint) < slots + queueCount;
    return isRoom && endpoint.ownCount < ownMax;
  }

  // An engine that denied having the adapter is asked to load it; one that could not load it rests.
  #takesAdapters(endpoint: Endpoint, item: string): boolean {
    const { engineState, nowMs } = this.#context;
    if (engineState(endpoint.id)?.isBusy === true) return false;
    return !endpoint.lacks(`load ${item}`, nowMs());
  }

  #hasAdapter(endpoint: Endpoint, item: string): boolean {
    const state = this.#context.engineState(endpoint.id);
    if (state) return state.adapters.includes(item);
    const [model, adapter] = item.split('/');
    const held = endpoint.record.models.find(({ name }) => name === model);
    return held?.adapters.includes(adapter) ?? false;
  }

  #reliefMs({ service, model }: PickNeed): number | undefined {
    const remaining = this.#context
      .endpointsOf(service.name)
      .flatMap(({ id }) => this.#context.engineState(id)?.loading ?? [])
      .flatMap((one) => (one.model === model ? [one.remainingMs] : []));
    return remaining.length > 0 ? Math.min(...remaining) : undefined;
  }

  // The soonest that any engine could serve the model: one that loads it already, or the nearest copy.
  #loadEtaMs(live: readonly Endpoint[], model: string, engine: EngineSpec): number {
    const spec = engine.models.get(model) as ModelSpec;
    const etas = live.map(({ id, record }) => {
      const loading = this.#context.engineState(id)?.loading.find((one) => one.model === model);
      if (loading) return loading.remainingMs;
      return LOAD_NOTICE_MS + loadTimeMs(record, spec);
    });
    return Math.min(...etas);
  }
}
