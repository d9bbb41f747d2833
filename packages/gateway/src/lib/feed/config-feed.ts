import { setTimeout as sleep } from 'node:timers/promises';
import { RouteIndex } from '@chervilseam/decisions';
import type { ServingConfig } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { StateStore } from '../ports/state-store.js';

/** How long a read waits for a change, in milliseconds; peers tell of one that it misses. */
const WAIT_MS = 12_000;
/** Time between two questions to other instances, in milliseconds. */
const ASK_PAUSE_MS = 300;
const BACKOFF_MIN_MS = 100;
const BACKOFF_MAX_MS = 800;

/** What the feed needs around it. */
interface ConfigFeedContext {
  readonly store: StateStore;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  readonly onChange: (config: ServingConfig) => void;
}

/** Keeps the newest configuration in force; it never goes back. */
export class ConfigFeed {
  readonly #context: ConfigFeedContext;
  #config: ServingConfig | undefined;
  #routes: RouteIndex | undefined;
  #offset: number | undefined;
  #failureCount = 0;
  #isStopped = false;
  #nextAskMs = 0;

  /** @param context - what the feed needs around it */
  constructor(context: ConfigFeedContext) {
    this.#context = context;
  }

  /** The configuration in force. */
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

  /** Follows the store until stopped. */
  start(): void {
    void this.#follow();
  }

  /** Ends following. */
  stop(): void {
    this.#isStopped = true;
  }

  /**
   * Takes the configuration from another instance that has a newer one: the store may be out of reach
   * from here.
   *
   * @param version - the version in force there
   * @param read - asks that instance for it
   */
  heard(version: number, read: () => Promise<ServingConfig>): void {
    const { nowMs, logger } = this.#context;
    if (version <= this.version || nowMs() < this.#nextAskMs) return;
    this.#nextAskMs = nowMs() + ASK_PAUSE_MS;
    read().then(
      (config) => this.#take(config, 'peer'),
      (error: Error) => {
        const fields = { error: error.message, version };
        logger.info('config_unread', 'a newer version could not be had', fields);
      },
    );
  }

  async #follow(): Promise<void> {
    while (!this.#isStopped) {
      // One read after the other: each begins where the one before ended.
      // eslint-disable-next-line no-await-in-loop
      const pauseMs = await this.#readNext();
      // eslint-disable-next-line no-await-in-loop
      if (pauseMs > 0) await sleep(pauseMs);
    }
  }

  async #readNext(): Promise<number> {
    const { store, logger } = this.#context;
    try {
      const page = await store.readConfig(this.#offset, this.#offset === undefined ? 0 : WAIT_MS);
      this.#offset = page.nextOffset;
      if (page.config) this.#take(page.config, 'store');
      if (this.#failureCount > 0) {
        logger.info('config_regained', 'the configuration can be read again', {
          failures: this.#failureCount,
        });
      }
      this.#failureCount = 0;
      return this.#config ? 0 : BACKOFF_MIN_MS;
    } catch (error) {
      this.#failureCount += 1;
      if (this.#failureCount === 1) {
        logger.warn('config_lost', 'the configuration cannot be read', {
          error: (error as Error).message,
          version: this.version,
        });
      }
      return Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** this.#failureCount);
    }
  }

  #take(config: ServingConfig, source: string): void {
    if (config.version <= this.version) return;
    const previous = this.version;
    this.#config = config;
    this.#routes = new RouteIndex(config);
    this.#context.logger.info('config_in_force', 'a version is in force', {
      version: config.version,
      previous,
      source,
      routes: config.routes.length,
    });
    this.#context.onChange(config);
  }
}
