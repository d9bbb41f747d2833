import { PeerPool, PeerServer } from '@chervilseam/peer';
import type { PartLogger } from '@chervilseam/observe';
import type { PackedConfig } from '../feed/packed-config.js';
import type { EngineMove } from '../owner/engine-move.js';
import type { EndpointPage } from '../ports/endpoint-page.js';
import type { AdapterWish } from './adapter-wish.js';
import type { InstanceState } from './instance-state.js';
import type { PeerTable } from './peer-table.js';

/** Time between two states sent to the same instance while there are few, in milliseconds. */
const PERIOD_MS = 100;
/** States a second that an instance sends at most, to all others together. */
const STATES_PER_SECOND = 60;
/** A state without an answer for this long is lost, and its connection is made anew, in milliseconds. */
const ANSWER_TIMEOUT_MS = 700;
/** An instance that does not answer is tried again after this, in milliseconds. */
const RETRY_MS = 1_000;
/** An instance that has not answered for this long is no longer called, in milliseconds. */
const GIVE_UP_MS = 20_000;
/** Time for an owner to prepare an adapter, in milliseconds. */
const ADAPTER_TIMEOUT_MS = 400;

interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

interface PeerLine {
  readonly address: PeerAddress;
  nextMs: number;
  answeredMs: number;
  isCalling: boolean;
}

/** What the exchange needs around it. */
interface PeerSyncContext {
  readonly instance: string;
  readonly secret: string;
  readonly table: PeerTable;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  readonly state: () => InstanceState;
  /** Loads an adapter on an engine that this instance owns. */
  readonly prepare: (wish: AdapterWish) => Promise<boolean>;
  /** Begins a change of the models on an engine that this instance owns. */
  readonly begin: (endpoint: string, move: EngineMove) => boolean;
  /** The configuration in force here, for an instance that cannot read it. */
  readonly config: () => PackedConfig | undefined;
  /** Takes a read of the endpoints' list that another instance made. */
  readonly onEndpoints: (page: EndpointPage & { readonly fromOffset?: number }) => void;
  readonly onState: (state: InstanceState) => void;
}

const keyOf = ({ host, port }: PeerAddress): string => `${host}:${port}`;

/** Exchanges states with the other instances, each pair by its own connection. */
export class PeerSync {
  readonly #context: PeerSyncContext;
  readonly #pool: PeerPool;
  readonly #server: PeerServer;
  readonly #lines = new Map<string, PeerLine>();
  #ownKey = '';

  /** @param context - what is needed around it */
  constructor(context: PeerSyncContext) {
    this.#context = context;
    const { instance, secret } = context;
    const handlers: ConstructorParameters<typeof PeerServer>[0]['handlers'] = {
      state: (params, stream) => {
        this.#takeState(params as InstanceState);
        stream.end({});
      },
      endpoints: (params, stream) => {
        context.onEndpoints(params as EndpointPage);
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

  /** Addresses of instances that answer. */
  get addresses(): readonly string[] {
    const { nowMs } = this.#context;
    return [...this.#lines.values()].flatMap(({ address, answeredMs }) =>
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
    this.#lines.set(key, { address, nextMs: nowMs, answeredMs: nowMs, isCalling: false });
  }

  /** Sends the state to each instance whose turn it is. */
  tick(): void {
    const nowMs = this.#context.nowMs();
    const periodMs = Math.max(PERIOD_MS, (1_000 * this.#lines.size) / STATES_PER_SECOND);
    const due = [...this.#lines.values()].filter((line) => !line.isCalling && nowMs >= line.nextMs);
    if (due.length === 0) return;
    const state = this.#context.state();
    due.forEach((line) => {
      this.#lines.get(keyOf(line.address))!.nextMs = nowMs + periodMs;
      void this.#send(line, state);
    });
  }

  /**
   * Hands a read of the endpoints' list on.
   *
   * @param page - what was read, and where the read began
   */
  relay(page: EndpointPage & { readonly fromOffset?: number }): void {
    this.#lines.forEach(({ address }) => {
      this.#pool.call(address, 'endpoints', page, ANSWER_TIMEOUT_MS).catch(() => {
        // The other side reads for itself when it hears nothing.
      });
    });
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

  async #send(line: PeerLine, state: InstanceState): Promise<void> {
    const { nowMs, logger } = this.#context;
    const entry = line;
    entry.isCalling = true;
    try {
      await this.#pool.call(line.address, 'state', state, ANSWER_TIMEOUT_MS);
      entry.answeredMs = nowMs();
    } catch (error) {
      entry.nextMs = nowMs() + RETRY_MS;
      // A connection may have gone silent for good while new ones work.
      this.#pool.drop(line.address);
      if (nowMs() - entry.answeredMs > GIVE_UP_MS) {
        this.#lines.delete(keyOf(line.address));
        const fields = { peer: keyOf(line.address), error: (error as Error).message };
        logger.info('peer_lost', 'an instance is no longer called', fields);
      }
    } finally {
      entry.isCalling = false;
    }
  }

  #takeState(state: InstanceState): void {
    const { table, nowMs, onState } = this.#context;
    table.update(state, nowMs());
    this.add({ host: state.host, port: state.port });
    state.peers.forEach((key) => {
      const [host, port] = key.split(':');
      this.add({ host, port: Number(port) });
    });
    onState(state);
  }
}
