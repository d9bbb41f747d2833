import { setTimeout as sleep } from 'node:timers/promises';
import { ConfigSources, RouteIndex, WorkspaceIndex } from '@chervilseam/decisions';
import { shownDigestOf } from '@chervilseam/model';
import type { ServingConfig } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { StateStore } from '../ports/state-store.js';
import { packedConfig } from './packed-config.js';

/**
 * Longest time that the store holds a read until the configuration changes (long poll), in
 * milliseconds. If a read misses a newer version, the instance learns of it from the states of peers.
 */
const LONG_POLL_MS = 28_000;
/**
 * The same at the first instances that read the store, in milliseconds. The connections of all instances
 * may go silent at once; then a change is noticed only by the next read.
 */
const WATCHER_POLL_MS = 2_000;
/** Number of instances that poll the store in the shorter interval, in case one cannot reach it. */
const WATCHER_COUNT = 2;
/** Time between two checks whether another instance still reports the version in force, in milliseconds. */
const INFORMED_CHECK_MS = 250;
/**
 * Time after the report of a newer version in which an instance that reads the store expects the version
 * from there, in milliseconds.
 */
const STORE_HEAD_START_MS = 300;
/**
 * Time after the report of a newer version from which an instance that relies on others reads the store
 * itself, in milliseconds.
 */
const PEER_READ_MAX_MS = 500;
/**
 * Base of the exponential backoff after failed reads, and wait until the next read while the store has
 * no configuration, in milliseconds.
 */
const BACKOFF_MIN_MS = 100;
/** Upper bound of the backoff, in milliseconds. */
const BACKOFF_MAX_MS = 800;

/** Number of API keys of several workspaces that are logged; the others are counted. */
const LOGGED_KEY_COUNT_MAX = 20;

/** Where a configuration comes from. */
type ConfigOrigin = 'store' | 'peer';

/** Dependencies of the feed. */
interface ConfigFeedContext {
  readonly store: StateStore;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  /** @returns a random number from 0 up to 1 */
  readonly randomUnit: () => number;
  /**
   * Whether another instance reports each new version to this one. The store is not read meanwhile, so
   * that the number of readers does not grow with the number of instances.
   */
  readonly isInformed: () => boolean;
  /** Rank of this instance among those that read the store; 0 is the first. */
  readonly rank: () => number;
  /** Reads the configuration from another instance, given its address as `host:port`. */
  readonly readPeer: (address: string) => Promise<ServingConfig>;
  /** Called after each read of the configuration. */
  readonly onRead: (source: ConfigOrigin, outcome: 'read' | 'failed', durationMs: number) => void;
  /** Called when a newer configuration is in force. */
  readonly onChange: (config: ServingConfig) => void;
}

/** Where and when a configuration was read. */
interface ConfigRead {
  readonly source: ConfigOrigin;
  /** Address of the instance that it was read from. */
  readonly from?: string;
  /** When the read began, in milliseconds; a read of the store includes the wait for a change. */
  readonly startMs: number;
}

/**
 * Puts each newer version of the configuration in force; an older one is ignored, also when the store has come back from a
 * copy that has no newer one. Versions come from the store, or from another instance that reports a newer one: instances
 * that others inform do not read the store unless the others fail to deliver what they report, and the rest read from others when the
 * store is late.
 */
export class ConfigFeed {
  readonly #context: ConfigFeedContext;
  readonly #sources = new ConfigSources();
  #config: ServingConfig | undefined;
  /** The configuration in force as other instances receive it; created when one asks for it. */
  #encoded: Promise<Buffer> | undefined;
  #routes: RouteIndex | undefined;
  #workspaces: WorkspaceIndex | undefined;
  /** Log offset where the next read begins; `undefined` before the first read. */
  #offset: number | undefined;
  #failureCount = 0;
  #isStopped = false;
  #isReadingPeers = false;
  /**
   * Since when a newer version is known of and this instance has made no progress towards it, in
   * milliseconds; `undefined` while none is known of.
   */
  #behindSinceMs: number | undefined;

  /** @param context - dependencies of the feed */
  constructor(context: ConfigFeedContext) {
    this.#context = context;
  }

  /** The configuration in force; `undefined` before the first one was read. */
  get config(): ServingConfig | undefined {
    return this.#config;
  }

  /**
   * @returns the configuration in force, encoded for other instances
   * @throws before the first configuration was read
   */
  async encoded(): Promise<Buffer> {
    if (!this.#config) throw new Error('no configuration is in force');
    this.#encoded ??= packedConfig.encode(this.#config);
    return this.#encoded;
  }

  /** Routes of the configuration in force. */
  get routes(): RouteIndex | undefined {
    return this.#routes;
  }

  /** Workspaces of the configuration in force by their API keys; `undefined` when callers need no keys. */
  get workspaces(): WorkspaceIndex | undefined {
    return this.#workspaces;
  }

  /** Version in force, or 0 when none is known. */
  get version(): number {
    return this.#config?.version ?? 0;
  }

  /** The newest version that this instance knows of; it may not be in force here yet. */
  get reportedVersion(): number {
    return Math.max(this.#sources.newestVersion, this.version);
  }

  /** Starts to read the configuration from the store, until stopped. */
  start(): void {
    void this.#follow();
  }

  /** Stops reading; the read in progress is completed. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Records the version in force at another instance, and reads it from there if it is newer than the
   * one here and the store does not deliver it.
   *
   * @param report - the other instance, its version, and whether it is in this one's failure domain
   */
  onPeerVersion(report: Parameters<ConfigSources['report']>[0]): void {
    const nowMs = this.#context.nowMs();
    this.#sources.report(report, nowMs);
    if (report.version <= this.version) return;
    this.#behindSinceMs ??= nowMs;
    if (this.#isReadingPeers || !this.#mayReadPeers) return;
    this.#isReadingPeers = true;
    // The other reports of the same message are recorded first, as the choice between them is random.
    setImmediate(() => {
      void this.#readPeers();
    });
  }

  get #behindMs(): number {
    return this.#behindSinceMs === undefined ? 0 : this.#context.nowMs() - this.#behindSinceMs;
  }

  get #mayReadPeers(): boolean {
    const { isInformed } = this.#context;
    return isInformed() || this.#failureCount > 0 || this.#behindMs >= STORE_HEAD_START_MS;
  }

  async #readPeers(): Promise<void> {
    const { nowMs, randomUnit } = this.#context;
    const choose = (): string | undefined =>
      this.#isStopped ? undefined : this.#sources.choose(this.version, nowMs(), randomUnit());
    // One read at a time, since all share the link of this instance.
    for (let address = choose(); address !== undefined; address = choose()) {
      // eslint-disable-next-line no-await-in-loop
      const isRead = await this.#readPeer(address);
      // eslint-disable-next-line no-await-in-loop
      if (!isRead) await sleep(BACKOFF_MIN_MS);
    }
    this.#isReadingPeers = false;
  }

  async #readPeer(address: string): Promise<boolean> {
    const { nowMs, logger, onRead, readPeer } = this.#context;
    const startMs = nowMs();
    // The store may put a newer version in force during the read.
    const previous = this.version;
    try {
      const config = await readPeer(address);
      if (config.version <= previous) {
        throw new Error(`received version ${config.version}, not one after ${previous}`);
      }
      onRead('peer', 'read', nowMs() - startMs);
      this.#apply(config, { source: 'peer', from: address, startMs });
      return true;
    } catch (error) {
      const afterMs = Math.round(nowMs() - startMs);
      onRead('peer', 'failed', afterMs);
      this.#sources.markFailed(address, nowMs());
      logger.info('config_unread', 'cannot read a newer configuration from another instance', {
        error: (error as Error).message,
        from: address,
        reported: this.reportedVersion,
        version: this.version,
        afterMs,
      });
      return false;
    }
  }

  async #follow(): Promise<void> {
    while (!this.#isStopped) {
      // Reads run one after the other: each begins at the offset where the previous one ended.
      // eslint-disable-next-line no-await-in-loop
      const waitMs = await this.#readNext();
      // eslint-disable-next-line no-await-in-loop
      if (waitMs > 0) await sleep(waitMs);
    }
  }

  // Whether other instances inform this one and have delivered what they report.
  get #isServedByPeers(): boolean {
    const { isInformed } = this.#context;
    return this.#config !== undefined && isInformed() && this.#behindMs < PEER_READ_MAX_MS;
  }

  get #pollMs(): number {
    return this.#context.rank() < WATCHER_COUNT ? WATCHER_POLL_MS : LONG_POLL_MS;
  }

  /** @returns time to wait before the next read, in milliseconds */
  async #readNext(): Promise<number> {
    const { store, logger, nowMs, onRead } = this.#context;
    if (this.#isServedByPeers) return INFORMED_CHECK_MS;
    const startMs = nowMs();
    try {
      const page = await store.readConfig(
        this.#offset,
        this.#offset === undefined ? 0 : this.#pollMs,
      );
      this.#offset = page.nextOffset;
      onRead('store', 'read', nowMs() - startMs);
      if (page.config) this.#apply(page.config, { source: 'store', startMs });
      if (this.#failureCount > 0) {
        logger.info('config_regained', 'the configuration can be read again', {
          failures: this.#failureCount,
        });
      }
      this.#failureCount = 0;
      return this.#config ? 0 : BACKOFF_MIN_MS;
    } catch (error) {
      this.#failureCount += 1;
      onRead('store', 'failed', nowMs() - startMs);
      if (this.#failureCount === 1) {
        logger.warn('config_lost', 'the configuration cannot be read', {
          error: (error as Error).message,
          version: this.version,
          reported: this.reportedVersion,
          afterMs: Math.round(nowMs() - startMs),
        });
      }
      return Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** this.#failureCount);
    }
  }

  #apply(config: ServingConfig, { source, from, startMs }: ConfigRead): void {
    if (config.version <= this.version) return;
    const nowMs = this.#context.nowMs();
    const previous = this.version;
    const behindMs = Math.round(this.#behindMs);
    this.#routes = new RouteIndex(config);
    this.#workspaces = config.workspaces && new WorkspaceIndex(config.workspaces.values());
    this.#config = config;
    this.#encoded = undefined;
    this.#behindSinceMs = this.reportedVersion > config.version ? nowMs : undefined;
    this.#context.logger.info('config_in_force', 'a newer configuration is in force', {
      version: config.version,
      previous,
      reported: this.reportedVersion,
      source,
      from,
      routes: config.routes.length,
      readMs: Math.round(nowMs - startMs),
      behindMs,
    });
    this.#logSharedKeys();
    this.#context.onChange(config);
  }

  #logSharedKeys(): void {
    const shared = this.#workspaces?.sharedKeys ?? [];
    shared.slice(0, LOGGED_KEY_COUNT_MAX).forEach(({ digest, workspace, other }) =>
      this.#context.logger.warn('api_key_shared', 'two workspaces hold the same API key', {
        version: this.version,
        keyDigest: shownDigestOf(digest),
        workspace,
        other,
        count: shared.length,
      }),
    );
  }
}
