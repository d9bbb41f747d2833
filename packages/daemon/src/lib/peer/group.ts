import {
  defaultMembershipSettings,
  Membership,
  MemberState,
  weightedRendezvous,
} from '@chervilseam/decisions';
import type { ConfigView, Member, MembershipMessage, Random, Rumor } from '@chervilseam/decisions';
import type { PeerStream } from '@chervilseam/peer';
import type { InstanceListPort, ListedInstance } from '@chervilseam/ports';
import { Directory } from '../entry/directory.js';
import type { Metrics } from '../observe/metrics.js';
import type { Settings } from '../settings/settings.js';
import type { PeerNode } from './peer-node.js';

const PEER_CALL_TIMEOUT_MS = 2_000;
/** Instances that a starting one asks at once; a count. */
const START_ASK_COUNT = 4;

/** What belonging to the group of instances needs around it. */
interface GroupContext {
  readonly settings: Settings;
  /** Unique name of this life of the instance. */
  readonly life: string;
  readonly list: InstanceListPort;
  readonly random: Random;
  readonly metrics: Metrics;
  readonly view: () => ConfigView;
  readonly nowMs: () => number;
}

/** The group of instances as this one knows it: who is there, what they tell, who owns what. */
export class Group {
  /** Handlers of the methods that other instances call. */
  readonly handlers = {
    facts: (params: unknown, stream: PeerStream) => {
      this.#takeFacts(params as Rumor[]);
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

  /** @param context - settings, list and clock */
  constructor(context: GroupContext) {
    this.#context = context;
  }

  /** All members known, by name. */
  get members(): ReadonlyMap<string, Member> {
    return this.#membership?.members ?? new Map<string, Member>();
  }

  /** Members that take part: alive, or only suspected. */
  get present(): readonly Member[] {
    return this.#membership?.activeMembers() ?? [];
  }

  /**
   * Joins the group.
   *
   * @param peers - streams and datagrams, already listening
   */
  join(peers: PeerNode): void {
    const { settings, life, random } = this.#context;
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
   * @param key - key of a fact
   * @returns the fact, if it is known
   */
  get(key: string): Rumor | undefined {
    return this.#membership?.rumors.get(key);
  }

  /** @param rumor - a fact to tell all others */
  publish(rumor: Rumor): void {
    this.#membership?.applyRumor(rumor, this.#context.nowMs());
  }

  /** @param state - `leaving` takes no new work, `left` is gone */
  announce(state: 'leaving' | 'left'): void {
    this.#membership?.announce(state);
  }

  /**
   * Tells all others that an endpoint takes no new work.
   *
   * @param endpoint - name of the endpoint
   * @throws Error when there is no such endpoint
   */
  drain(endpoint: string): void {
    if (!this.#context.view().endpoints.has(endpoint)) throw new Error(`no endpoint "${endpoint}"`);
    this.publish({ key: Directory.leavingKey(endpoint), version: [1, 0], value: true });
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns the instance that should own it: one of its failure domain while one is there
   */
  ownerOf(endpoint: string): Member | undefined {
    const domain = this.#context.view().endpoints.get(endpoint)?.failureDomain;
    const { present } = this;
    const local = present.filter(({ failureDomain }) => failureDomain === domain);
    return weightedRendezvous(endpoint, local.length > 0 ? local : present);
  }

  /** @returns any other instance that is there */
  anyPeer(): Member | undefined {
    const { name } = this.#context.settings.instance;
    return this.#context.random.pick(this.present.filter((member) => member.name !== name));
  }

  /**
   * Asks any other instance one question.
   *
   * @param method - handler at the other side
   * @param params - the question
   * @returns the answer, or `undefined` when nobody is there
   * @throws the connection's error, the handler's failure, or a time-out
   */
  async ask(method: string, params: unknown): Promise<unknown> {
    const peer = this.anyPeer();
    return peer && this.#peers?.call(peer, method, params, PEER_CALL_TIMEOUT_MS);
  }

  /** Lets time pass. */
  tick(): void {
    this.#sendAll(this.#membership?.tick(this.#context.nowMs()) ?? []);
    const counts = new Map<string, number>();
    this.members.forEach(({ state }) => counts.set(state, (counts.get(state) ?? 0) + 1));
    Object.values(MemberState).forEach((state) => {
      this.#context.metrics.members.set({ state }, counts.get(state) ?? 0);
    });
  }

  /** @param message - a datagram of another instance */
  takeDatagram(message: MembershipMessage): void {
    this.#sendAll(this.#membership?.receive(message, this.#context.nowMs()) ?? []);
  }

  /** Reads the platform's list, which seeds the members and names leaving endpoints. */
  async pollList(): Promise<void> {
    const { list, metrics } = this.#context;
    try {
      this.#takeList(await list.list());
      metrics.platformDown.set({ service: 'instances' }, 0);
    } catch {
      metrics.platformDown.set({ service: 'instances' }, 1);
    }
  }

  /**
   * Learns all facts from others, as an instance does that starts. The platform's list lags, so some of
   * those that it names are gone: several are asked at once and the first answer will do.
   *
   * @returns whether any answered, or nobody else is known
   */
  async learnFacts(): Promise<boolean> {
    const { random, settings } = this.#context;
    const others = this.present.filter(({ name }) => name !== settings.instance.name);
    if (others.length === 0) return true;
    const asked = random.shuffle(others).slice(0, START_ASK_COUNT);
    // What an instance learns as it starts the others know; telling it on would be for nothing.
    const learning = asked.map((peer) => this.#exchange(peer, false));
    return Promise.any(learning).then(
      () => true,
      () => false,
    );
  }

  /**
   * Compares digests with any other instance, and everything if they differ. Heartbeats spread news;
   * this mends what a lost datagram left behind.
   */
  async syncFacts(): Promise<void> {
    const peer = this.anyPeer();
    if (!peer) return;
    // The next round asks another one.
    await this.#exchange(peer, true).catch(() => {});
  }

  async #exchange(peer: Member, isSpread: boolean): Promise<void> {
    const rumors = this.#membership?.rumors;
    if (!this.#peers || !rumors) return;
    const digest = { digest: rumors.digest() };
    const isKnown = await this.#peers.call(peer, 'factsDigest', digest, PEER_CALL_TIMEOUT_MS);
    if (isKnown === true) return;
    const theirs = await this.#peers.call(peer, 'facts', rumors.all(), PEER_CALL_TIMEOUT_MS);
    this.#takeFacts(theirs as Rumor[], isSpread);
  }

  #sendAll(messages: ReturnType<Membership['tick']>): void {
    messages.forEach(({ to, message }) => this.#peers?.send(to, message));
  }

  #takeFacts(rumors: readonly Rumor[], isSpread = true): void {
    const nowMs = this.#context.nowMs();
    rumors.forEach((rumor) => this.#membership?.applyRumor(rumor, nowMs, isSpread));
  }

  #takeList(listed: readonly ListedInstance[]): void {
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
