import { answerInParts, PeerPool, PeerServer } from '@chervilseam/peer';
import type { PartLogger } from '@chervilseam/observe';
import { isSocketAddress } from '@chervilseam/model';
import type { ServingConfig } from '@chervilseam/model';
import { packedConfig } from '../feed/packed-config.js';
import type { ListUpdate } from '../feed/list-update.js';
import type { EngineMove } from '../owner/engine-move.js';
import type { QuotaCalls } from '../quota/quota-calls.js';
import type { AdapterLoadRequest } from './adapter-load-request.js';
import { bestAggregator } from './best-aggregator.js';
import type { InstanceState } from './instance-state.js';
import { ListRelay } from './list-relay.js';
import type { Overview } from './overview.js';
import type { PeerAddress } from './peer-address.js';
import { PeerCallers } from './peer-callers.js';
import { parsePeerKey } from './parse-peer-key.js';
import { peerKey } from './peer-key.js';
import type { PeerLink } from './peer-link.js';
import type { PeerTable } from './peer-table.js';
import type { SharedList } from './shared-list.js';
import type { StateAnswer } from './state-answer.js';
import { StateReceiver } from './state-receiver.js';
import { StateSender } from './state-sender.js';
import type { StateUpdate } from './state-update.js';

/** Time between two states that an owner sends to the same owner, in milliseconds. */
const STATE_INTERVAL_MS = 300;
/** The same when a request was dispatched since the last state, which other instances have to know of. */
const CHANGED_INTERVAL_MS = 40;
/**
 * Greatest numbers of states that an owner sends per second to all other owners in its failure domain,
 * and to all outside it. With many owners, the intervals grow beyond these.
 */
const LOCAL_STATES_PER_SECOND_MAX = 60;
const REMOTE_STATES_PER_SECOND_MAX = 40;
/** Time between two states that a follower sends to its aggregator, in milliseconds. */
const FOLLOWER_INTERVAL_MS = 300;
/**
 * Time between two checks whether another owner suits a follower better than its aggregator, in
 * milliseconds.
 */
const AGGREGATOR_CHECK_MS = 4_000;
/**
 * Timeout of a call to another instance, in milliseconds. The connection on which a state was not
 * answered in time is replaced.
 */
const CALL_TIMEOUT_MS = 700;
/** Bounds of a large transfer from another instance, in milliseconds and bytes. */
const TRANSFER_BOUNDS = {
  silenceMs: CALL_TIMEOUT_MS,
  totalMs: 8_000,
  bytesMax: 4 * 1024 * 1024,
} as const;
/** Time from a failed call until the instance is called again, in milliseconds. */
const RETRY_DELAY_MS = 1_000;
/** An instance that has not answered for this long is removed, in milliseconds. */
const REMOVAL_TIMEOUT_MS = 20_000;
/** Timeout of a request to an owner to load an adapter, in milliseconds. */
const ADAPTER_TIMEOUT_MS = 400;
/** Timeout of a call for quotas, with the time until its connection is open, in milliseconds. */
const QUOTA_TIMEOUT_MS = 300;

/** Ranks that an owner without a recent answer loses: more than one in another failure domain. */
const SILENCE_PENALTY = 2;
const MS_PER_SECOND = 1_000;

/** Dependencies of the state exchange. */
interface PeerSyncContext {
  readonly instance: string;
  readonly failureDomain: string;
  readonly secret: string;
  readonly table: PeerTable;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  /** Whether this instance owns shares. */
  readonly isOwner: () => boolean;
  /** State of this instance alone. */
  readonly ownState: () => InstanceState;
  /** State of this instance, with sums that include its followers. */
  readonly state: () => InstanceState;
  /** Loads an adapter on an engine that this instance owns. */
  readonly loadAdapter: (request: AdapterLoadRequest) => Promise<boolean>;
  /** Begins a change of the models on an engine that this instance owns. */
  readonly beginMove: (endpoint: string, move: EngineMove) => boolean;
  /** Answers a call of another instance for quotas. */
  readonly quotaCall: <M extends keyof QuotaCalls>(
    method: M,
    instance: string,
    params: QuotaCalls[M]['params'],
  ) => QuotaCalls[M]['answer'];
  /**
   * The configuration in force here, encoded for instances that do not read it from the store; rejects
   * when there is none.
   */
  readonly config: () => Promise<Buffer>;
  /** The list of endpoints, for the other instances and from them. */
  readonly list: SharedList;
  /** Receives each state of another instance. */
  readonly onState: (state: InstanceState) => void;
  /** Called when this instance owns no shares and can reach no owner to follow. */
  readonly onNoOwner: () => void;
}

/**
 * Exchanges states with the other instances. Owners of shares (partitions of the endpoints) send their
 * states to each other, each pair over its own connection. An instance without shares, a follower,
 * sends its state to one owner, its aggregator, and receives an overview of the other instances in
 * return.
 */
export class PeerSync {
  readonly #context: PeerSyncContext;
  readonly #pool: PeerPool;
  /** Connections of large transfers, which would hold up the state exchange. */
  readonly #transfers: PeerPool;
  /** Connections of calls for quotas, which callers wait for. */
  readonly #quotas: PeerPool;
  readonly #server: PeerServer;
  readonly #links = new Map<string, PeerLink>();
  #ownKey = '';
  /** The owner that this instance follows. */
  #aggregator: PeerLink | undefined;
  /** When this instance last dispatched a request, in milliseconds. */
  #dispatchedMs = -Infinity;
  /** Whether the other instances should have the next state at once. */
  #isUrgent = false;
  /** When this instance last compared its aggregator with the other owners, in milliseconds. */
  #aggregatorCheckMs = -Infinity;
  /** Restores the overviews of the current aggregator. */
  #overviews = new StateReceiver<Overview>();
  readonly #callers: PeerCallers;
  readonly #listRelay: ListRelay;
  /** When this instance last reported that it can reach no owner, in milliseconds. */
  #noOwnerMs = -Infinity;

  /** @param context - dependencies of the exchange */
  constructor(context: PeerSyncContext) {
    this.#context = context;
    this.#callers = new PeerCallers(context.nowMs);
    this.#listRelay = new ListRelay({
      nowMs: context.nowMs,
      isOwner: context.isOwner,
      owners: () => this.#ownerLinks.map(({ address }) => address),
      followers: () => context.table.followers,
      send: (address, update) => this.#pool.call(address, 'endpoints', update, CALL_TIMEOUT_MS),
      list: context.list,
    });
    const { instance, secret } = context;
    const handlers: ConstructorParameters<typeof PeerServer>[0]['handlers'] = {
      state: (params, stream, from) => {
        stream.end(this.#receiveState(from, params as StateUpdate<InstanceState>));
      },
      follow: (params, stream, from) => {
        const { state, known } = params as { state: StateUpdate<InstanceState>; known?: number };
        stream.end(this.#receiveFollowerState(from, state, known));
      },
      unfollow: (_, stream, from) => {
        context.table.removeFollower(from);
        stream.end({});
      },
      endpoints: (params, stream, from) => {
        stream.end(this.#listRelay.receive(params as ListUpdate, from));
      },
      config: (_, stream) => {
        void answerInParts(stream, context.config());
      },
      move: (params, stream) => {
        const { endpoint, move } = params as { endpoint: string; move: EngineMove };
        stream.end({ isBegun: context.beginMove(endpoint, move) });
      },
      units: (params, stream, from) => {
        stream.end(context.quotaCall('units', from, params as QuotaCalls['units']['params']));
      },
      lease: (params, stream, from) => {
        stream.end(context.quotaCall('lease', from, params as QuotaCalls['lease']['params']));
      },
      adapter: (params, stream) => {
        void context
          .loadAdapter(params as AdapterLoadRequest)
          .then((isReady) => stream.end({ isReady }));
      },
    };
    this.#pool = new PeerPool({ instance, secret, handlers: {} });
    this.#transfers = new PeerPool({ instance, secret, handlers: {} }, CALL_TIMEOUT_MS);
    this.#quotas = new PeerPool({ instance, secret, handlers: {} }, QUOTA_TIMEOUT_MS);
    this.#server = new PeerServer({ instance, secret, handlers });
  }

  /** Whether an owner of shares has recently answered this instance as its aggregator. */
  get isFollowing(): boolean {
    const answeredMs = this.#aggregator?.answeredMs ?? -Infinity;
    return this.#context.nowMs() - answeredMs < CALL_TIMEOUT_MS;
  }

  /** Addresses of owners that have answered recently, each as `host:port`. */
  get owners(): readonly string[] {
    const { nowMs } = this.#context;
    return this.#ownerLinks.flatMap(({ address, answeredMs }) =>
      nowMs() - answeredMs < 2 * RETRY_DELAY_MS ? [peerKey(address)] : [],
    );
  }

  /**
   * Starts to listen for calls of other instances.
   *
   * @param address - where to listen, which is also the address of this instance
   */
  async listen(address: PeerAddress): Promise<void> {
    this.#ownKey = peerKey(address);
    await this.#server.listen(address.host, address.port);
  }

  /**
   * Adds an instance to exchange states with.
   *
   * @param address - the instance; ignored when it is this one or a known one
   */
  add(address: PeerAddress): void {
    const key = peerKey(address);
    if (key === this.#ownKey || this.#links.has(key) || !isSocketAddress(address)) return;
    const nowMs = this.#context.nowMs();
    this.#links.set(key, {
      address,
      isFollower: false,
      isLocal: false,
      sentMs: -Infinity,
      retryMs: nowMs,
      answeredMs: nowMs,
      isCalling: false,
      sender: new StateSender(),
    });
  }

  /**
   * Adds an instance, or updates a known one, as an owner of shares.
   *
   * @param address - the instance
   */
  addOwner(address: PeerAddress): void {
    this.add(address);
    const link = this.#links.get(peerKey(address));
    if (link) link.isFollower = false;
  }

  /** Records that a request was dispatched, so that the next state is sent sooner. */
  noteDispatch(): void {
    this.#dispatchedMs = this.#context.nowMs();
  }

  /** Records that the state has changed in a way that other instances need at once. */
  noteUrgent(): void {
    this.noteDispatch();
    this.#isUrgent = true;
  }

  /** Sends this instance's state to each instance that it is due for. */
  tick(): void {
    if (this.#context.isOwner()) this.#sendToOwners();
    else this.#sendToAggregator();
    this.#isUrgent = false;
  }

  /**
   * Sends what this instance read of the list of endpoints to the others, if it owns shares.
   *
   * @param previousOffset - log offset of the list that this instance had before
   */
  relay(previousOffset: number | undefined): void {
    this.#listRelay.relay(previousOffset);
  }

  /**
   * Asks the owner of an engine to load an adapter.
   *
   * @param address - the owner
   * @param request - the adapter and the engine
   * @returns whether the adapter is ready
   */
  async loadAdapter(address: PeerAddress, request: AdapterLoadRequest): Promise<boolean> {
    try {
      const answer = await this.#pool.call(address, 'adapter', request, ADAPTER_TIMEOUT_MS);
      return (answer as { isReady?: boolean }).isReady === true;
    } catch (error) {
      const fields = { ...request, owner: peerKey(address), error: (error as Error).message };
      this.#context.logger.info(
        'owner_silent',
        'request to an engine’s owner to load an adapter failed',
        fields,
      );
      return false;
    }
  }

  /**
   * Asks the owner of an engine to change its models.
   *
   * @param address - the owner
   * @param endpoint - the engine
   * @param move - what to load and unload
   */
  beginMove(address: PeerAddress, endpoint: string, move: EngineMove): void {
    this.#pool.call(address, 'move', { endpoint, move }, CALL_TIMEOUT_MS).catch((error: Error) => {
      const fields = { endpoint, ...move, owner: peerKey(address), error: error.message };
      this.#context.logger.info(
        'move_unheard',
        'request to an engine’s owner to change its models failed',
        fields,
      );
    });
  }

  /**
   * Asks another instance for the configuration in force there.
   *
   * @param address - the instance
   * @returns the configuration
   * @throws when there is no answer, or no configuration is in force there
   */
  async readConfig(address: PeerAddress): Promise<ServingConfig> {
    try {
      const bytes = await this.#transfers.download(address, 'config', {}, TRANSFER_BOUNDS);
      return await packedConfig.decode(bytes);
    } finally {
      this.#transfers.drop(address);
    }
  }

  /**
   * Calls another instance for quotas.
   *
   * @param address - the instance
   * @param method - what is asked
   * @param params - parameters of the call
   * @returns the answer
   * @throws when there is no answer in time
   */
  async callForQuotas<M extends keyof QuotaCalls>(
    address: PeerAddress,
    method: M,
    params: QuotaCalls[M]['params'],
  ): Promise<QuotaCalls[M]['answer']> {
    try {
      const answer = await this.#quotas.call(address, method, params, QUOTA_TIMEOUT_MS);
      return answer as QuotaCalls[M]['answer'];
    } catch (error) {
      // The connection may be dead without an error while a new one would work.
      this.#quotas.drop(address);
      throw error;
    }
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#pool.close();
    this.#transfers.close();
    this.#quotas.close();
  }

  get #ownerLinks(): PeerLink[] {
    return [...this.#links.values()].filter(({ isFollower }) => !isFollower);
  }

  get #callableOwners(): PeerLink[] {
    const nowMs = this.#context.nowMs();
    return this.#ownerLinks.filter(({ retryMs }) => nowMs >= retryMs);
  }

  #sendToOwners(): void {
    this.#aggregator = undefined;
    const links = this.#ownerLinks;
    const local = links.filter(({ isLocal }) => isLocal);
    const remote = links.filter(({ isLocal }) => !isLocal);
    const due = [
      ...this.#dueOf(local, LOCAL_STATES_PER_SECOND_MAX),
      ...this.#dueOf(remote, REMOTE_STATES_PER_SECOND_MAX),
    ];
    if (due.length === 0) return;
    const state = this.#context.state();
    due.forEach((link) => {
      const update = link.sender.next(state, link.acknowledged);
      void this.#call(link, 'state', update).then((answer) => {
        if (answer?.isOwner === false) this.#markFollower(peerKey(link.address));
      });
    });
  }

  #dueOf(links: readonly PeerLink[], statesPerSecondMax: number): PeerLink[] {
    const nowMs = this.#context.nowMs();
    const intervalMinMs = (MS_PER_SECOND * links.length) / statesPerSecondMax;
    return links.filter(({ isCalling, sentMs, retryMs }) => {
      const hasChanged = this.#dispatchedMs > sentMs;
      if (this.#isUrgent && !isCalling && nowMs >= retryMs) return true;
      const intervalMs = Math.max(
        hasChanged ? CHANGED_INTERVAL_MS : STATE_INTERVAL_MS,
        intervalMinMs,
      );
      return !isCalling && nowMs >= Math.max(sentMs + intervalMs, retryMs);
    });
  }

  // Follows one owner at a time, and chooses another when that one no longer answers.
  #sendToAggregator(): void {
    const nowMs = this.#context.nowMs();
    const link = this.#betterAggregator() ?? this.#aggregator ?? this.#chooseAggregator();
    if (!link && nowMs > this.#noOwnerMs + RETRY_DELAY_MS) {
      this.#noOwnerMs = nowMs;
      this.#context.onNoOwner();
    }
    if (!link || link.isCalling) return;
    const intervalMs = this.#isUrgent ? 0 : FOLLOWER_INTERVAL_MS;
    if (nowMs < Math.max(link.sentMs + intervalMs, link.retryMs)) return;
    if (this.#aggregator !== link) {
      const fields = { speaker: peerKey(link.address) };
      this.#context.logger.info(
        'speaker',
        'chose an owner of shares as this instance’s aggregator',
        fields,
      );
      if (this.#aggregator) this.#unfollow(this.#aggregator);
      this.#overviews = new StateReceiver();
      this.#aggregatorCheckMs = nowMs;
    }
    this.#aggregator = link;
    const state = link.sender.next(this.#context.ownState(), link.acknowledged);
    const params = { state, known: this.#overviews.version };
    void this.#call(link, 'follow', params).then((answer) => {
      if (answer) this.#receiveOverview(link, answer);
      else this.#dropAggregator('the aggregator of this instance does not answer');
    });
  }

  // When a fleet starts, its first owner is the only one and gets all followers; as other instances come
  // to own shares, the followers spread over them.
  #betterAggregator(): PeerLink | undefined {
    const { nowMs, table } = this.#context;
    if (!this.#aggregator || this.#aggregator.isCalling) return undefined;
    if (nowMs() < this.#aggregatorCheckMs + AGGREGATOR_CHECK_MS) return undefined;
    this.#aggregatorCheckMs = nowMs();
    const reported = new Set(table.fresh(nowMs()).map(peerKey));
    const isReported = ({ address }: PeerLink): boolean => reported.has(peerKey(address));
    return bestAggregator(this.#context.instance, this.#callableOwners.filter(isReported));
  }

  // The former aggregator would otherwise count this instance's load until its state expires.
  #unfollow({ address }: PeerLink): void {
    this.#pool.call(address, 'unfollow', {}, CALL_TIMEOUT_MS).catch((error: Error) => {
      const fields = { speaker: peerKey(address), error: error.message };
      this.#context.logger.info(
        'unfollow_unheard',
        'could not notify the former aggregator',
        fields,
      );
    });
  }

  // Prefers owners that have answered recently.
  #chooseAggregator(): PeerLink | undefined {
    const nowMs = this.#context.nowMs();
    return bestAggregator(this.#context.instance, this.#callableOwners, ({ answeredMs }) =>
      nowMs - answeredMs > RETRY_DELAY_MS ? SILENCE_PENALTY : 0,
    );
  }

  #dropAggregator(reason: string): void {
    const speaker = this.#aggregator && peerKey(this.#aggregator.address);
    this.#context.logger.info('speaker_lost', reason, { speaker });
    this.#aggregator = undefined;
    this.#overviews = new StateReceiver();
  }

  #receiveOverview(link: PeerLink, { overview, owners, isOwner }: StateAnswer): void {
    const { table, nowMs, onState } = this.#context;
    if (!isOwner) {
      // The instance owns no shares, but may know instances that do.
      this.#addAddresses(owners ?? []);
      this.#markFollower(peerKey(link.address));
      this.#dropAggregator('the chosen aggregator owns no shares');
      return;
    }
    const restored = overview && this.#overviews.apply(overview);
    if (!restored) return;
    table.applyOverview(restored, nowMs());
    [restored.summary, ...Object.values(restored.states)].forEach((state) => {
      this.#addInstance(state);
      onState(state);
    });
  }

  #addInstance({ host, port, shares, failureDomain }: InstanceState): void {
    this.add({ host, port });
    const link = this.#links.get(peerKey({ host, port }));
    if (!link) return;
    link.isFollower = shares.length === 0;
    link.isLocal = failureDomain === this.#context.failureDomain;
  }

  #receiveFollowerState(
    from: string,
    update: StateUpdate<InstanceState>,
    known: number | undefined,
  ): StateAnswer {
    const { table, nowMs, isOwner, ownState, onState } = this.#context;
    const caller = this.#callers.get(from);
    const state = caller.receiver.apply(update);
    const acknowledged = caller.receiver.version;
    if (!isOwner()) return { acknowledged, isOwner: false, owners: this.owners };
    if (!state) return { acknowledged, isOwner: true };
    this.#markFollower(peerKey(state));
    table.updateFollower(state, nowMs());
    onState(state);
    const overview = table.overviewFor(ownState(), state.instance, nowMs());
    return { acknowledged, isOwner: true, overview: caller.sender.next(overview, known) };
  }

  #markFollower(key: string): void {
    const link = this.#links.get(key);
    if (link) link.isFollower = true;
  }

  async #call(
    link: PeerLink,
    method: 'state' | 'follow',
    params: unknown,
  ): Promise<StateAnswer | undefined> {
    const { nowMs, logger } = this.#context;
    const entry = link;
    entry.isCalling = true;
    entry.sentMs = nowMs();
    try {
      const answer = await this.#pool.call(link.address, method, params, CALL_TIMEOUT_MS);
      entry.answeredMs = nowMs();
      const { acknowledged } = answer as StateAnswer;
      entry.acknowledged = acknowledged;
      return answer as StateAnswer;
    } catch (error) {
      entry.acknowledged = undefined;
      entry.retryMs = nowMs() + RETRY_DELAY_MS;
      // The connection may be dead without an error while a new one would work.
      this.#pool.drop(link.address);
      if (nowMs() - entry.answeredMs > REMOVAL_TIMEOUT_MS) {
        this.#links.delete(peerKey(link.address));
        const fields = { peer: peerKey(link.address), error: (error as Error).message };
        logger.info('peer_lost', 'removed an instance that no longer answers', fields);
      }
      return undefined;
    } finally {
      entry.isCalling = false;
    }
  }

  #receiveState(from: string, update: StateUpdate<InstanceState>): StateAnswer {
    const { table, nowMs, onState, isOwner } = this.#context;
    const { receiver } = this.#callers.get(from);
    const state = receiver.apply(update);
    if (state) {
      table.updateOwner(state, nowMs());
      this.#addInstance(state);
      this.#addAddresses(state.owners);
      onState(state);
    }
    return { acknowledged: receiver.version, isOwner: isOwner() };
  }

  #addAddresses(keys: readonly string[]): void {
    keys.forEach((key) => this.add(parsePeerKey(key)));
  }
}
