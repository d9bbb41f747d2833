import { setTimeout as sleep } from 'node:timers/promises';
import { RouteIndex } from '@chervilseam/decisions';
import type { ServingConfig } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { StateStore } from '../ports/state-store.js';

/**
 * Longest time that the store holds a read until the configuration changes (long poll), in
 * milliseconds. If a read misses a newer version, the instance learns of it from the states of peers.
 */
const LONG_POLL_MS = 28_000;
/** Time between two checks whether another instance still reports the version in force, in milliseconds. */
const INFORMED_CHECK_MS = 250;
/** Shortest time between two reads of the configuration from peers, in milliseconds. */
const PEER_READ_PERIOD_MS = 300;
/**
 * Base of the exponential backoff after failed reads, and wait until the next read while the store has
 * no configuration, in milliseconds.
 */
const BACKOFF_MIN_MS = 100;
/** Upper bound of the backoff, in milliseconds. */
const BACKOFF_MAX_MS = 800;

type ConfigSource = 'store' | 'peer';

/** Dependencies of the feed. */
interface ConfigFeedContext {
  readonly store: StateStore;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  /**
   * Whether another instance reports each new version to this one. The store is not read meanwhile, so
   * that the number of readers does not grow with the number of instances.
   */
  readonly isInformed: () => boolean;
  /** Called after each read of the configuration; `source` is `store` or `peer`. */
  readonly onRead: (source: ConfigSource, outcome: 'read' | 'failed', durationMs: number) => void;
  /** Called when a newer configuration is in force. */
  readonly onChange: (config: ServingConfig) => void;
}

/** Where and when a configuration was read. */
interface ConfigRead {
  readonly source: ConfigSource;
  /** Address of the instance that it was read from. */
  readonly from?: string;
  /** When the read began, in milliseconds; a read of the store includes the wait for a change. */
  readonly startMs: number;
}

/**
 * Reads the configuration from the store whenever it changes, and puts each newer version in force; an
 * older one is ignored.
 */
export class ConfigFeed {
  readonly #context: ConfigFeedContext;
  #config: ServingConfig | undefined;
  #routes: RouteIndex | undefined;
  /** Log offset where the next read begins; `undefined` before the first read. */
  #offset: number | undefined;
  #failureCount = 0;
  #isStopped = false;
  #nextPeerReadMs = 0;
  /** The newest version that another instance has reported. */
  #reportedVersion = 0;
  /** When `#reportedVersion` was first reported, in milliseconds. */
  #reportedMs = 0;

  /** @param context - dependencies of the feed */
  constructor(context: ConfigFeedContext) {
    this.#context = context;
  }

  /** The configuration in force; `undefined` before the first one was read. */
  get config(): ServingConfig | undefined {
    return this.#config;
  }

  /** Routes of the configuration in force. */
  get routes(): RouteIndex | undefined {
    return this.#routes;
  }

  /** Version in force, or 0 when none is known. */
  get version(): number {
    return this.#config?.version ?? 0;
  }

  /** The newest version that this instance knows of; it may not be in force here yet. */
  get reportedVersion(): number {
    return Math.max(this.#reportedVersion, this.version);
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
   * Reads the configuration from another instance if that instance has a newer one, since this
   * instance may be unable to reach the store.
   *
   * @param version - the version in force at the other instance
   * @param from - address of that instance, for the log
   * @param read - reads the configuration from that instance
   */
  onPeerVersion(version: number, from: string, read: () => Promise<ServingConfig>): void {
    const { nowMs, logger, onRead } = this.#context;
    if (version > this.#reportedVersion) {
      this.#reportedVersion = version;
      this.#reportedMs = nowMs();
    }
    if (version <= this.version || nowMs() < this.#nextPeerReadMs) return;
    this.#nextPeerReadMs = nowMs() + PEER_READ_PERIOD_MS;
    const startMs = nowMs();
    read().then(
      (config) => {
        onRead('peer', 'read', nowMs() - startMs);
        this.#apply(config, { source: 'peer', from, startMs });
      },
      (error: Error) => {
        const afterMs = Math.round(nowMs() - startMs);
        onRead('peer', 'failed', afterMs);
        const fields = { error: error.message, version, inForce: this.version, from, afterMs };
        logger.info(
          'config_unread',
          'cannot read a newer configuration from another instance',
          fields,
        );
      },
    );
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

  /** @returns time to wait before the next read, in milliseconds */
  async #readNext(): Promise<number> {
    const { store, logger, isInformed, nowMs, onRead } = this.#context;
    if (this.#config && isInformed()) return INFORMED_CHECK_MS;
    const startMs = nowMs();
    try {
      const page = await store.readConfig(
        this.#offset,
        this.#offset === undefined ? 0 : LONG_POLL_MS,
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
    this.#config = config;
    this.#routes = new RouteIndex(config);
    this.#context.logger.info('config_in_force', 'a newer configuration is in force', {
      version: config.version,
      previous,
      source,
      from,
      routes: config.routes.length,
      readMs: Math.round(nowMs - startMs),
      ...(config.version === this.#reportedVersion && {
        reportedAgoMs: Math.round(nowMs - this.#reportedMs),
      }),
    });
    this.#context.onChange(config);
  }
}
