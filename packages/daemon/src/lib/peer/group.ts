import {
  defaultMembershipSettings,
  Membership,
  MemberState,
  weightedRendezvous,
} from '@chervilseam/decisions';
import type { ConfigView, Member, MembershipMessage, Random, Rumor } from '@chervilseam/decisions';
import type { PeerStream } from '@chervilseam/peer';
import type { InstanceListPort, ListedInstance } from '@chervilseam/ports';
import { EndpointDirectory } from '../entry/endpoint-directory.js';
import type { Metrics } from '../observe/metrics.js';
import type { Settings } from '../settings/settings.js';
import type { PeerNode } from './peer-node.js';

/** Timeout of a call to another instance, in milliseconds. */
const PEER_CALL_TIMEOUT_MS = 2_000;
/** Bounds of a large transfer from another instance, in milliseconds and bytes. */
const TRANSFER_BOUNDS = {
  silenceMs: PEER_CALL_TIMEOUT_MS,
  totalMs: 30_000,
  bytesMax: 16 * 1024 * 1024,
} as const;
/** Maximum number of instances that a starting instance asks for their rumors concurrently. */
const START_PEER_COUNT_MAX = 4;

/** Dependencies of the group. */
interface GroupContext {
  readonly settings: Settings;
  /** Unique id of this run (start to exit) of the instance. */
  readonly bootId: string;
  /** The platform's list of instances and endpoints. */
  readonly list: InstanceListPort;
  readonly random: Random;
  readonly metrics: Metrics;
  /** @returns the configuration in force */
  readonly view: () => ConfigView;
  /** Monotonic clock, in milliseconds. */
  readonly nowMs: () => number;
}

/**
 * The group of instances as known to this one: its members, the rumors that they publish, and which
 * member should own each endpoint. The methods that instances call on each other name the rumors
 * "facts".
 */
export class Group {
  /** Handlers of the methods that other instances call to compare and exchange rumors. */
  readonly handlers = {
    facts: (params: unknown, stream: PeerStream) => {
      this.#applyRumors(params as Rumor[]);
      stream.end(this.#membership?.rumors.all() ?? []);
    },
    factsDigest: (params: unknown, stream: PeerStream) => {
      const { digest } = params as { digest: string };
      stream.end(digest === this.#membership?.rumors.digest());
    },
  };

  readonly #context: GroupContext;
  #peers: PeerNode | undefined;
  #membership: Membership | undefined;

  /** @param context - dependencies of the group */
  constructor(context: GroupContext) {
    this.#context = context;
  }

  /** All known members in any state, by name; empty before {@link join}. */
  get members(): ReadonlyMap<string, Member> {
    return this.#membership?.members ?? new Map<string, Member>();
  }

  /** Members in state `alive` or `suspect`, including this instance if it is one of them. */
  get activeMembers(): readonly Member[] {
    return this.#membership?.activeMembers() ?? [];
  }

  /**
   * Starts the membership of this instance, which other instances learn of by its heartbeats.
   *
   * @param peers - node for streams and datagrams, already listening
   */
  join(peers: PeerNode): void {
    const { settings, bootId: life, random } = this.#context;
    const { instance, listen, membership } = settings;
    this.#peers = peers;
    const self: Member = {
      name: instance.name,
      host: listen.host,
      port: peers.port,
      failureDomain: instance.failureDomain,
      region: instance.region,
      size: instance.size,
      life,
      incarnation: Date.now(),
      state: MemberState.alive,
    };
    this.#membership = new Membership(
      self,
      { ...defaultMembershipSettings, ...membership },
      random,
    );
  }

  /**
   * @param key - key of a rumor
   * @returns the rumor, or `undefined` when it is not known
   */
  get(key: string): Rumor | undefined {
    return this.#membership?.rumors.get(key);
  }

  /** @param rumor - a rumor to spread to all instances, unless it is outdated */
  publish(rumor: Rumor): void {
    this.#membership?.applyRumor(rumor, this.#context.nowMs());
  }

  /**
   * Publishes that this instance is shutting down.
   *
   * @param state - `leaving`: it accepts no new work; `left`: it is about to exit
   */
  announce(state: 'leaving' | 'left'): void {
    this.#membership?.announce(state);
  }

  /**
   * Publishes to all instances that an endpoint accepts no new work.
   *
   * @param endpoint - name of the endpoint
   * @throws Error when the configuration has no such endpoint
   */
  drain(endpoint: string): void {
    if (!this.#context.view().endpoints.has(endpoint)) throw new Error(`no endpoint "${endpoint}"`);
    this.publish({ key: EndpointDirectory.leavingKey(endpoint), version: [1, 0], value: true });
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns the active member that should own it, from the endpoint's failure domain if that has
   *   any; `undefined` when there is no active member
   */
  ownerOf(endpoint: string): Member | undefined {
    const domain = this.#context.view().endpoints.get(endpoint)?.failureDomain;
    const { activeMembers } = this;
    const local = activeMembers.filter(({ failureDomain }) => failureDomain === domain);
    return weightedRendezvous(endpoint, local.length > 0 ? local : activeMembers);
  }

  /** @returns a random other active member, or `undefined` when there is none */
  anyPeer(): Member | undefined {
    const { name } = this.#context.settings.instance;
    return this.#context.random.pick(this.activeMembers.filter((member) => member.name !== name));
  }

  /**
   * Reads the data that a method of a random other instance answers with, which may be large.
   *
   * @param method - name of the method
   * @param params - its parameters
   * @returns the data, or `undefined` when there is no other active member
   * @throws the connection's error, the handler's failure, or an error when a bound is exceeded
   */
  async downloadFromAnyPeer(method: string, params: unknown): Promise<Buffer | undefined> {
    const peer = this.anyPeer();
    return peer && this.#peers?.download(peer, method, params, TRANSFER_BOUNDS);
  }

  /** Sends the heartbeats that are due and updates the metric of members by state. */
  tick(): void {
    this.#sendAll(this.#membership?.tick(this.#context.nowMs()) ?? []);
    const counts = new Map<string, number>();
    this.members.forEach(({ state }) => counts.set(state, (counts.get(state) ?? 0) + 1));
    Object.values(MemberState).forEach((state) => {
      this.#context.metrics.members.set({ state }, counts.get(state) ?? 0);
    });
  }

  /** @param message - a membership message that another instance sent as a datagram */
  receiveDatagram(message: MembershipMessage): void {
    this.#sendAll(this.#membership?.receive(message, this.#context.nowMs()) ?? []);
  }

  /**
   * Reads the platform's list: adds instances that are not known yet, and publishes which endpoints
   * are leaving.
   */
  async pollList(): Promise<void> {
    const { list, metrics } = this.#context;
    try {
      this.#applyList(await list.list());
      metrics.platformDown.set({ service: 'instances' }, 0);
    } catch {
      metrics.platformDown.set({ service: 'instances' }, 1);
    }
  }

  /**
   * Fetches all rumors from other instances at startup. Some instances of the platform's list may
   * be gone already, since the list lags behind. Several instances are therefore asked
   * concurrently, and the first answer is enough.
   *
   * @returns whether any instance answered, or no other active member is known
   */
  async fetchRumors(): Promise<boolean> {
    const { random, settings } = this.#context;
    const others = this.activeMembers.filter(({ name }) => name !== settings.instance.name);
    if (others.length === 0) return true;
    const peers = random.shuffle(others).slice(0, START_PEER_COUNT_MAX);
    // The other instances know these rumors already, so they are not spread again.
    const exchanges = peers.map((peer) => this.#exchangeRumors(peer, false));
    return Promise.any(exchanges).then(
      () => true,
      () => false,
    );
  }

  /**
   * Compares the digest of all rumors with a random other instance, and exchanges all rumors if the
   * digests differ. This repairs differences that lost datagrams have caused, since heartbeats send
   * a new rumor only a limited number of times.
   */
  async syncRumors(): Promise<void> {
    const peer = this.anyPeer();
    if (!peer) return;
    // After a failure, the next call picks another peer.
    await this.#exchangeRumors(peer, true).catch(() => {});
  }

  async #exchangeRumors(peer: Member, shouldSpread: boolean): Promise<void> {
    const rumors = this.#membership?.rumors;
    if (!this.#peers || !rumors) return;
    const digest = { digest: rumors.digest() };
    const isEqual = await this.#peers.call(peer, 'factsDigest', digest, PEER_CALL_TIMEOUT_MS);
    if (isEqual === true) return;
    const theirs = await this.#peers.call(peer, 'facts', rumors.all(), PEER_CALL_TIMEOUT_MS);
    this.#applyRumors(theirs as Rumor[], shouldSpread);
  }

  #sendAll(messages: ReturnType<Membership['tick']>): void {
    messages.forEach(({ to, message }) => this.#peers?.send(to, message));
  }

  #applyRumors(rumors: readonly Rumor[], shouldSpread = true): void {
    const nowMs = this.#context.nowMs();
    rumors.forEach((rumor) => this.#membership?.applyRumor(rumor, nowMs, shouldSpread));
  }

  #applyList(listed: readonly ListedInstance[]): void {
    const entries = listed.filter(({ role }) => role === 'entry');
    this.#membership?.addListedMembers(
      entries.map(({ name, host, peerPort, failureDomain, region, size }) => ({
        name,
        host,
        port: peerPort,
        failureDomain,
        region,
        size,
      })),
    );
    listed
      .filter(({ role, state }) => role === 'endpoint' && state === 'leaving')
      .filter(({ name }) => this.#context.view().endpoints.has(name))
      .forEach(({ name }) => this.drain(name));
  }
}
