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
/** Time after which an update without an answer counts as lost, as between real instances, in milliseconds. */
const CALL_TIMEOUT_MS = 700;
/** Time after which a call of the store without an answer counts as lost, in milliseconds. */
const SILENCE_TIMEOUT_MS = 1_000;
/** Time between two checks, and for which an endpoint that left is checked, in milliseconds. */
const CHECK_INTERVAL_MS = 50;
const CHECKED_MS = 15_000;

interface SimulatedInstance {
  readonly name: string;
  readonly registry: EndpointRegistry;
  readonly feed: EndpointFeed;
  readonly relay: ListRelay;
  /** Leavings of endpoints that it was seen to obey. */
  readonly avoided: Set<string>;
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
  readonly list = new SimulatedList(
    () => this.time.nowMs,
    () => this.#options.conditions.isStoreStable?.(this.time.nowMs) ?? true,
  );
  readonly #options: FleetOptions;
  readonly #instances = new Map<string, SimulatedInstance>();
  /** Reads of the list, updates that were sent, and changes in them. */
  readonly counts = { reads: 0, updates: 0, changes: 0 };
  readonly #late = new Set<string>();

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

  /** Instances that would still send to an endpoint after the bound, each with that endpoint. */
  get late(): readonly string[] {
    return [...this.#late];
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
      relay: (previousOffset) => this.#get(name).relay.relay(previousOffset),
      onUpdate: () => undefined,
      onReplaced: () => undefined,
      onTransitions: () => undefined,
    });
    const relay = new ListRelay({
      isOwner: () => isOwner,
      owners: () => this.#ownerNames.filter((owner) => owner !== name).map(SimulatedFleet.#address),
      followers: () => (isOwner ? this.#followersOf(rank) : []).map(SimulatedFleet.#address),
      send: ({ host }, update) => this.#send(name, host, update),
      nowMs: () => this.time.nowMs,
      list: feed,
    });
    this.#instances.get(name)?.registry.close();
    this.#instances.set(name, { name, registry, feed, relay, avoided: new Set() });
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
    if (!this.#standsStill(name)) this.#get(name).feed.tick();
    this.time.after(TICK_MS, () => this.#tick(name));
  }

  #standsStill(name: string): boolean {
    const { standsStillUntilMs } = this.#options.conditions;
    return this.time.nowMs < (standsStillUntilMs?.(name) ?? -Infinity);
  }

  // What reaches an instance that stands still is handled when it goes on.
  async #whenRunning(name: string): Promise<void> {
    while (this.#standsStill(name)) {
      // eslint-disable-next-line no-await-in-loop
      await this.time.wait(1);
    }
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
    await this.#whenRunning(name);
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
    const wayMs = this.#options.conditions.update(from, to, this.time.nowMs);
    if (wayMs === undefined) {
      await this.time.wait(CALL_TIMEOUT_MS);
      throw new Error('no answer');
    }
    const { isAnswerLost, copyAfterMs } = this.#options.conditions;
    const sentMs = this.time.nowMs;
    const copyMs = copyAfterMs?.(from, to, sentMs);
    if (copyMs !== undefined) {
      this.time.after(wayMs + copyMs, () => this.#get(to).relay.receive(update, from));
    }
    await this.time.wait(wayMs);
    await this.#whenRunning(to);
    const answer = this.#get(to).relay.receive(update, from);
    await this.time.wait(wayMs);
    await this.#whenRunning(from);
    const isTimedOut = this.time.nowMs > sentMs + CALL_TIMEOUT_MS;
    if (isTimedOut || isAnswerLost?.(from, to, this.time.nowMs)) throw new Error('no answer');
    return answer;
  }

  #check(): void {
    const { leaveBoundMs, conditions } = this.#options;
    const { nowMs } = this.time;
    this.list.leavingsBetween(nowMs - CHECKED_MS, nowMs).forEach(({ id, bornMs, atMs, isLost }) => {
      this.#instances.forEach(({ name, registry, avoided }) => {
        const known = registry.get(id);
        if (!known || known.record.bornMs !== bornMs) return;
        const leaving = `${id} at ${atMs}`;
        if (known.isLeaving) {
          avoided.add(leaving);
          return;
        }
        // Nobody can know of a leaving that a copy of the store lacks, but whoever knew it has to go on obeying it.
        if (isLost && avoided.has(leaving)) this.#late.add(`${name} uses ${id} again`);
        if (isLost || atMs > nowMs - leaveBoundMs) return;
        if (conditions.isBound?.(name, nowMs) ?? true) this.#late.add(`${name} uses ${id}`);
      });
    });
    this.time.after(CHECK_INTERVAL_MS, () => this.#check());
  }
}
