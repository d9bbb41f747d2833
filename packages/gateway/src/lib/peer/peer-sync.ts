import { hashOf } from '@chervilseam/decisions';
import { PeerPool, PeerServer } from '@chervilseam/peer';
import type { PartLogger } from '@chervilseam/observe';
import type { PackedConfig } from '../feed/packed-config.js';
import type { EngineMove } from '../owner/engine-move.js';
import type { EndpointPage } from '../ports/endpoint-page.js';
import type { AdapterWish } from './adapter-wish.js';
import type { InstanceState } from './instance-state.js';
import type { Overview } from './overview.js';
import type { PeerTable } from './peer-table.js';

/** Time between two states sent to the same instance while there are few, in milliseconds. */
const PERIOD_MS = 150;
/** States a second that an owner sends at most, to all other owners together. */
const STATES_PER_SECOND = 60;
/** Time between two states that an instance without shares sends to its speaker, in milliseconds. */
const FOLLOW_PERIOD_MS = 200;
/** A state without an answer for this long is lost, and its connection is made anew, in milliseconds. */
const ANSWER_TIMEOUT_MS = 700;
/** An instance that does not answer is tried again after this, in milliseconds. */
const RETRY_MS = 1_000;
/** An instance that has not answered for this long is no longer called, in milliseconds. */
const GIVE_UP_MS = 20_000;
/** Time for an owner to prepare an adapter, in milliseconds. */
const ADAPTER_TIMEOUT_MS = 400;

const MS_PER_SECOND = 1_000;

interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

interface PeerLine {
  readonly address: PeerAddress;
  /** Whether the instance is known to own no shares. */
  isFollower: boolean;
  nextMs: number;
  answeredMs: number;
  isCalling: boolean;
}

/** What the exchange needs around it. */
interface PeerSyncContext {
  readonly instance: string;
  readonly failureDomain: string;
  readonly secret: string;
  readonly table: PeerTable;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  /** Whether this instance owns shares. */
  readonly isOwner: () => boolean;
  /** The state of this instance alone. */
  readonly ownState: () => InstanceState;
  /** The state of this instance and of those that it speaks for. */
  readonly state: () => InstanceState;
  /** Loads an adapter on an engine that this instance owns. */
  readonly prepare: (wish: AdapterWish) => Promise<boolean>;
  /** Begins a change of the models on an engine that this instance owns. */
  readonly begin: (endpoint: string, move: EngineMove) => boolean;
  /** The configuration in force here, for an instance that cannot read it. */
  readonly config: () => PackedConfig | undefined;
  /** Takes a read of the endpoints' list that another instance made. */
  readonly onEndpoints: (page: ListPage) => void;
  readonly onState: (state: InstanceState) => void;
  /** No owner of shares answers. */
  readonly onAlone: () => void;
}

type ListPage = EndpointPage & { readonly fromOffset?: number };

const keyOf = ({ host, port }: PeerAddress): string => `${host}:${port}`;

/**
 * Exchanges states with the other instances: owners of shares with each other, each pair by its own
 * connection, and an instance without shares with one owner.
 */
export class PeerSync {
  readonly #context: PeerSyncContext;
  readonly #pool: PeerPool;
  readonly #server: PeerServer;
  readonly #lines = new Map<string, PeerLine>();
  #ownKey = '';
  #speaker: PeerLine | undefined;
  #ownersVersion: number | undefined;
  #aloneMs = -Infinity;

  /** @param context - what is needed around it */
  constructor(context: PeerSyncContext) {
    this.#context = context;
    const { instance, secret } = context;
    const handlers: ConstructorParameters<typeof PeerServer>[0]['handlers'] = {
      state: (params, stream) => {
        this.#takeState(params as InstanceState);
        stream.end({ isOwner: context.isOwner() });
      },
      follow: (params, stream) => {
        const { state, version } = params as { state: InstanceState; version?: number };
        stream.end(this.#takeFollower(state, version));
      },
      endpoints: (params, stream) => {
        this.#takeEndpoints(params as ListPage);
        stream.end({});
      },
      config: (_, stream) => {
        stream.end(context.config() ?? {});
      },
      move: (params, stream) => {
        const { endpoint, move } = params as { endpoint: string; move: EngineMove };
        stream.end({ isBegun: context.begin(endpoint, move) });
      },
      adapter: (params, stream) => {
        void context.prepare(params as AdapterWish).then((isReady) => stream.end({ isReady }));
      },
    };
    this.#pool = new PeerPool({ instance, secret, handlers: {} });
    this.#server = new PeerServer({ instance, secret, handlers });
  }

  /** Addresses of owners that answer. */
  get owners(): readonly string[] {
    const { nowMs } = this.#context;
    return this.#ownerLines.flatMap(({ address, answeredMs }) =>
      nowMs() - answeredMs < 2 * RETRY_MS ? [keyOf(address)] : [],
    );
  }

  /**
   * Starts to listen.
   *
   * @param address - where to
   */
  async listen(address: PeerAddress): Promise<void> {
    this.#ownKey = keyOf(address);
    await this.#server.listen(address.host, address.port);
  }

  /** @param address - another instance; this one and known ones are passed over */
  add(address: PeerAddress): void {
    const key = keyOf(address);
    if (key === this.#ownKey || this.#lines.has(key)) return;
    const nowMs = this.#context.nowMs();
    this.#lines.set(key, {
      address,
      isFollower: false,
      nextMs: nowMs,
      answeredMs: nowMs,
      isCalling: false,
    });
  }

  /** @param address - another instance, which owns shares */
  addOwner(address: PeerAddress): void {
    this.add(address);
    const line = this.#lines.get(keyOf(address));
    if (line) line.isFollower = false;
  }

  /** Sends the state to each instance whose turn it is. */
  tick(): void {
    if (this.#context.isOwner()) this.#tellOwners();
    else this.#tellSpeaker();
  }

  /**
   * Hands a read of the endpoints' list on.
   *
   * @param page - what was read, and where the read began
   */
  relay(page: ListPage): void {
    if (!this.#context.isOwner()) return;
    this.#hand(
      this.#ownerLines.map(({ address }) => address),
      page,
    );
    this.#hand(this.#context.table.followers, page);
  }

  /**
   * Asks the owner of an engine to load an adapter.
   *
   * @param address - the owner
   * @param wish - what to load where
   * @returns whether it can serve now
   */
  async prepare(address: PeerAddress, wish: AdapterWish): Promise<boolean> {
    try {
      const answer = await this.#pool.call(address, 'adapter', wish, ADAPTER_TIMEOUT_MS);
      return (answer as { isReady?: boolean }).isReady === true;
    } catch (error) {
      const fields = { ...wish, owner: keyOf(address), error: (error as Error).message };
      this.#context.logger.info('owner_silent', 'the owner did not load an adapter', fields);
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
  begin(address: PeerAddress, endpoint: string, move: EngineMove): void {
    this.#pool
      .call(address, 'move', { endpoint, move }, ANSWER_TIMEOUT_MS)
      .catch((error: Error) => {
        const fields = { endpoint, ...move, owner: keyOf(address), error: error.message };
        this.#context.logger.info('move_unheard', 'the owner did not hear of a move', fields);
      });
  }

  /**
   * Asks another instance for the configuration in force there.
   *
   * @param address - the instance
   * @returns the configuration
   * @throws when there is no answer, or none is in force there
   */
  async readConfig(address: PeerAddress): Promise<PackedConfig> {
    const answer = await this.#pool.call(address, 'config', {}, ANSWER_TIMEOUT_MS);
    if ((answer as PackedConfig).version === undefined) throw new Error('no configuration there');
    return answer as PackedConfig;
  }

  /** Ends all connections. */
  close(): void {
    this.#server.close();
    this.#pool.close();
  }

  get #ownerLines(): PeerLine[] {
    return [...this.#lines.values()].filter(({ isFollower }) => !isFollower);
  }

  #tellOwners(): void {
    const nowMs = this.#context.nowMs();
    this.#speaker = undefined;
    const lines = this.#ownerLines;
    const periodMs = Math.max(PERIOD_MS, (MS_PER_SECOND * lines.length) / STATES_PER_SECOND);
    const due = lines.filter((line) => !line.isCalling && nowMs >= line.nextMs);
    if (due.length === 0) return;
    const state = this.#context.state();
    due.forEach((line) => {
      void this.#call(line, periodMs, 'state', state).then((answer) => {
        if ((answer as { isOwner?: boolean } | undefined)?.isOwner === false) {
          this.#markFollower(keyOf(line.address));
        }
      });
    });
  }

  // One owner at a time, of the own failure domain if there is one; another when it falls silent.
  #tellSpeaker(): void {
    const nowMs = this.#context.nowMs();
    const line = this.#speaker ?? this.#nextSpeaker();
    if (!line && nowMs > this.#aloneMs + RETRY_MS) {
      this.#aloneMs = nowMs;
      this.#context.onAlone();
    }
    if (!line || line.isCalling || nowMs < line.nextMs) return;
    if (this.#speaker !== line) {
      const fields = { speaker: keyOf(line.address) };
      this.#context.logger.info('speaker', 'an owner of shares speaks for this instance', fields);
    }
    this.#speaker = line;
    const params = { state: this.#context.ownState(), version: this.#ownersVersion };
    void this.#call(line, FOLLOW_PERIOD_MS, 'follow', params).then((answer) => {
      if (answer) this.#takeAnswer(line, answer as Overview | { owners: readonly string[] });
      else this.#leaveSpeaker('the owner that spoke for this instance does not answer');
    });
  }

  #nextSpeaker(): PeerLine | undefined {
    const { instance, table, nowMs, failureDomain } = this.#context;
    const near = new Set(
      table
        .fresh(nowMs())
        .flatMap((state) => (state.failureDomain === failureDomain ? [keyOf(state)] : [])),
    );
    const rankOf = ({ address, answeredMs }: PeerLine): number =>
      (near.has(keyOf(address)) ? 0 : 1) + (nowMs() - answeredMs > RETRY_MS ? 2 : 0);
    // Followers spread over the owners by their names.
    const placeOf = ({ address }: PeerLine): number => hashOf(`${instance}@${keyOf(address)}`);
    return this.#ownerLines
      .filter(({ nextMs }) => nowMs() >= nextMs)
      .sort((left, right) => rankOf(left) - rankOf(right) || placeOf(left) - placeOf(right))
      .at(0);
  }

  #leaveSpeaker(reason: string): void {
    const speaker = this.#speaker && keyOf(this.#speaker.address);
    this.#context.logger.info('speaker_lost', reason, { speaker });
    this.#speaker = undefined;
    this.#ownersVersion = undefined;
  }

  #takeAnswer(line: PeerLine, answer: Overview | { owners: readonly string[] }): void {
    const { table, nowMs, onState } = this.#context;
    if (!('summary' in answer)) {
      // It owns no shares itself, but may know who does.
      this.#addKeys(answer.owners);
      this.#markFollower(keyOf(line.address));
      this.#leaveSpeaker('the instance that was asked owns no shares');
      return;
    }
    this.#ownersVersion = answer.version;
    table.takeOverview(answer, nowMs());
    [answer.summary, ...(answer.states ?? [])].forEach((state) => {
      this.add({ host: state.host, port: state.port });
      this.#lines.get(keyOf(state))!.isFollower = state.shares.length === 0;
      onState(state);
    });
  }

  #takeFollower(state: InstanceState, version?: number): Overview | { owners: readonly string[] } {
    const { table, nowMs, isOwner, ownState, onState } = this.#context;
    this.#markFollower(keyOf(state));
    if (!isOwner()) return { owners: this.owners };
    table.follow(state, nowMs());
    onState(state);
    return table.overviewFor(ownState(), state.instance, version, nowMs());
  }

  #takeEndpoints(page: ListPage): void {
    const { table, isOwner, onEndpoints } = this.#context;
    onEndpoints(page);
    if (isOwner()) this.#hand(table.followers, page);
  }

  #hand(addresses: readonly PeerAddress[], page: ListPage): void {
    addresses.forEach(({ host, port }) => {
      this.#pool.call({ host, port }, 'endpoints', page, ANSWER_TIMEOUT_MS).catch(() => {
        // The other side reads for itself when it hears nothing.
      });
    });
  }

  #markFollower(key: string): void {
    const line = this.#lines.get(key);
    if (line) line.isFollower = true;
  }

  async #call(line: PeerLine, periodMs: number, method: string, params: unknown): Promise<unknown> {
    const { nowMs, logger } = this.#context;
    const entry = line;
    entry.isCalling = true;
    entry.nextMs = nowMs() + periodMs;
    try {
      const answer = await this.#pool.call(line.address, method, params, ANSWER_TIMEOUT_MS);
      entry.answeredMs = nowMs();
      return answer;
    } catch (error) {
      entry.nextMs = nowMs() + RETRY_MS;
      // A connection may have gone silent for good while new ones work.
      this.#pool.drop(line.address);
      if (nowMs() - entry.answeredMs > GIVE_UP_MS) {
        this.#lines.delete(keyOf(line.address));
        const fields = { peer: keyOf(line.address), error: (error as Error).message };
        logger.info('peer_lost', 'an instance is no longer called', fields);
      }
      return undefined;
    } finally {
      entry.isCalling = false;
    }
  }

  #takeState(state: InstanceState): void {
    const { table, nowMs, onState } = this.#context;
    table.update(state, nowMs());
    this.add({ host: state.host, port: state.port });
    const line = this.#lines.get(keyOf(state));
    if (line) line.isFollower = state.shares.length === 0;
    this.#addKeys(state.owners);
    onState(state);
  }

  #addKeys(keys: readonly string[]): void {
    keys.forEach((key) => {
      const [host, port] = key.split(':');
      this.add({ host, port: Number(port) });
    });
  }
}
