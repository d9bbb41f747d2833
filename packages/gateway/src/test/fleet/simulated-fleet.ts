import { PartLogger } from '@chervilseam/observe';
import { EndpointFeed } from '../../lib/feed/endpoint-feed.js';
import { EndpointRegistry } from '../../lib/feed/endpoint-registry.js';
import { listTimesOf } from '../../lib/feed/list-times.js';
import { ListRelay } from '../../lib/peer/list-relay.js';
import { StoreBusyError } from '../../lib/ports/store-busy-error.js';
import type { StateStore } from '../../lib/ports/state-store.js';
import type { FleetConditions } from './fleet-conditions.js';
import { SimulatedList } from './simulated-list.js';
import { SimulatedTime } from './simulated-time.js';

const TICK_MS = 50;
/** Time after which a page without an answer counts as lost, as between real instances, in milliseconds. */
const CALL_TIMEOUT_MS = 700;
/** Time after which a call of the store without an answer counts as lost, in milliseconds. */
const SILENCE_TIMEOUT_MS = 1_000;

interface SimulatedInstance {
  readonly name: string;
  readonly registry: EndpointRegistry;
  readonly feed: EndpointFeed;
  readonly relay: ListRelay;
}

interface FleetOptions {
  readonly ownerCount: number;
  readonly followerCount: number;
  /** Time within which an endpoint that leaves must be avoided, in milliseconds. */
  readonly leaveBoundMs: number;
  readonly conditions: FleetConditions;
  /** Receives what the instances log, each line with the simulated time; nothing is logged without it. */
  readonly onLog?: (line: string) => void;
}

/** The list of endpoints as a fleet of instances shares it, in simulated time, without sockets. */
export class SimulatedFleet {
  readonly time = new SimulatedTime();
  readonly list = new SimulatedList(() => this.time.nowMs);
  readonly #options: FleetOptions;
  readonly #instances = new Map<string, SimulatedInstance>();
  #checkedCount = 0;
  /** Reads of the list, updates that were sent, and changes in them. */
  readonly counts = { reads: 0, updates: 0, changes: 0 };
  /** Instances that would still send to an endpoint after the bound, each with that endpoint. */
  readonly late: string[] = [];

  /** @param options - numbers of instances, the bound, and how calls are treated */
  constructor(options: FleetOptions) {
    this.#options = options;
    const names = [...this.#ownerNames, ...this.#followerNames];
    names.forEach((name, index) => {
      this.restart(name);
      this.time.after(1 + ((7 * index) % TICK_MS), () => this.#tick(name));
    });
    this.time.after(TICK_MS, () => this.#check());
  }

  /** Names of the instances. */
  get names(): readonly string[] {
    return [...this.#instances.keys()];
  }

  /** @returns endpoints that an instance would send requests to, in order */
  usedBy(name: string): readonly string[] {
    const { registry } = this.#get(name);
    return registry.all.flatMap(({ id, isLeaving }) => (isLeaving ? [] : [id])).sort();
  }

  /** Endpoints that may be used according to the store, in order. */
  get usable(): readonly string[] {
    return [...this.list.newest.values()]
      .flatMap(({ id, isDraining }) => (isDraining ? [] : [id]))
      .sort();
  }

  /** @param name - instance that starts again and knows nothing */
  restart(name: string): void {
    const { leaveBoundMs } = this.#options;
    const { readPeriodMs, suspicionMs } = listTimesOf(leaveBoundMs);
    const rank = this.#ownerNames.indexOf(name);
    const isOwner = rank >= 0;
    const registry = new EndpointRegistry(suspicionMs);
    const relay = new ListRelay({
      isOwner: () => isOwner,
      owners: () => this.#ownerNames.filter((owner) => owner !== name).map(SimulatedFleet.#address),
      followers: () => (isOwner ? this.#followersOf(rank) : []).map(SimulatedFleet.#address),
      send: ({ host }, update) => this.#send(name, host, update),
      nowMs: () => this.time.nowMs,
      list: {
        offset: () => registry.offset,
        ageMs: () => this.#get(name).feed.ageMs(this.time.nowMs),
        since: (offset) => registry.since(offset),
        apply: (update, sender) => this.#get(name).feed.applyUpdate(update, sender),
      },
    });
    const feed = new EndpointFeed({
      store: { readEndpoints: (from) => this.#read(name, from) } as Pick<
        StateStore,
        'readEndpoints'
      > as StateStore,
      registry,
      logger: this.#loggerOf(name),
      nowMs: () => this.time.nowMs,
      readPeriodMs,
      rank: () => (isOwner ? rank : Infinity),
      relay: (previousOffset) => relay.relay(previousOffset),
      onUpdate: () => undefined,
      onReplaced: () => undefined,
      onTransitions: () => undefined,
    });
    this.#instances.get(name)?.registry.close();
    this.#instances.set(name, { name, registry, feed, relay });
  }

  /** Releases what the instances hold. */
  close(): void {
    this.#instances.forEach(({ registry }) => registry.close());
  }

  static #address(this: void, name: string): { readonly host: string; readonly port: number } {
    return { host: name, port: 1 };
  }

  get #ownerNames(): string[] {
    return Array.from({ length: this.#options.ownerCount }, (_, index) => `owner-${index}`);
  }

  get #followerNames(): string[] {
    return Array.from({ length: this.#options.followerCount }, (_, index) => `follower-${index}`);
  }

  #loggerOf(name: string): PartLogger {
    const { onLog } = this.#options;
    const write = (line: string): boolean => {
      onLog?.(`${this.time.nowMs} ${line.trimEnd()}`);
      return true;
    };
    return PartLogger.forInstance(name, onLog ? 'info' : 'fatal', { write })('list');
  }

  #followersOf(rank: number): string[] {
    const { ownerCount } = this.#options;
    return this.#followerNames.filter((_, index) => index % ownerCount === rank);
  }

  #get(name: string): SimulatedInstance {
    return this.#instances.get(name) as SimulatedInstance;
  }

  #tick(name: string): void {
    this.#get(name).feed.tick();
    this.time.after(TICK_MS, () => this.#tick(name));
  }

  async #read(
    name: string,
    fromOffset: number | undefined,
  ): ReturnType<StateStore['readEndpoints']> {
    this.counts.reads += 1;
    const conditions = this.#options.conditions.read(name, this.time.nowMs);
    const { callMs, answerMs, isRefused = false, isLost = false } = conditions;
    if (isLost) {
      await this.time.wait(SILENCE_TIMEOUT_MS);
      throw new Error('no byte of the answer');
    }
    await this.time.wait(callMs);
    const page = this.list.read(fromOffset);
    await this.time.wait(answerMs);
    if (isRefused) throw new StoreBusyError('log-read');
    return page;
  }

  async #send(
    from: string,
    to: string,
    update: Parameters<ListRelay['receive']>[0],
  ): Promise<unknown> {
    this.counts.updates += 1;
    this.counts.changes += update.changes.length;
    const wayMs = this.#options.conditions.page(from, to, this.time.nowMs);
    if (wayMs === undefined) {
      await this.time.wait(CALL_TIMEOUT_MS);
      throw new Error('no answer');
    }
    await this.time.wait(wayMs);
    const answer = this.#get(to).relay.receive(update, from);
    await this.time.wait(wayMs);
    return answer;
  }

  // Each change is checked once, at its bound.
  #check(): void {
    const { leaveBoundMs } = this.#options;
    const { leavings } = this.list;
    while (
      this.#checkedCount < leavings.length &&
      leavings[this.#checkedCount].atMs + leaveBoundMs <= this.time.nowMs
    ) {
      const { id, bornMs } = leavings[this.#checkedCount];
      this.#checkedCount += 1;
      this.#instances.forEach(({ name, registry }) => {
        const known = registry.get(id);
        if (known && known.record.bornMs === bornMs && !known.isLeaving) {
          this.late.push(`${name} uses ${id}`);
        }
      });
    }
    this.time.after(1, () => this.#check());
  }
}
