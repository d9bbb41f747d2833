import type { PartLogger } from '@chervilseam/observe';
import type { EndpointPage } from '../ports/endpoint-page.js';
import type { StateStore } from '../ports/state-store.js';
import type { EndpointNews } from './endpoint-news.js';
import type { EndpointRegistry } from './endpoint-registry.js';

/** Time between reads of the list by whoever reads it, in milliseconds. */
const READ_PERIOD_MS = 450;
/** How much longer each further instance waits for another's read, in milliseconds. */
const STAGGER_MS = 110;
/** Instances that wait in turn; the others wait as long as the last of these; a count. */
const STAGGER_COUNT = 6;
/** Time after the store's trouble in which entries may be missing that are not gone, in milliseconds. */
const SHAKEN_MS = 2_500;
/** Longest pause after failed reads, in milliseconds. */
const BACKOFF_MAX_MS = 800;

/** What the feed needs around it. */
interface EndpointFeedContext {
  readonly store: StateStore;
  readonly registry: EndpointRegistry;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  /** Place of this instance among those that read in turn, 0 first. */
  readonly rank: () => number;
  readonly relay: (page: EndpointPage & { readonly fromOffset?: number }) => void;
  readonly onNews: () => void;
}

/**
 * Keeps the list of endpoints fresh. One instance reads it and hands what it read to the others; an
 * instance that hears nothing reads for itself, so no one has to be elected.
 */
export class EndpointFeed {
  readonly #context: EndpointFeedContext;
  #isReading = false;
  #nextReadMs = 0;
  #failureCount = 0;
  #shakenUntilMs = 0;
  #freshMs = -Infinity;

  /** @param context - what the feed needs around it */
  constructor(context: EndpointFeedContext) {
    this.#context = context;
  }

  /** Whether the list has been read at least once. */
  get isLoaded(): boolean {
    return this.#context.registry.offset !== undefined;
  }

  /** @returns how old the list is, in milliseconds */
  ageMs(nowMs: number): number {
    return nowMs - this.#freshMs;
  }

  /** Reads the list when it is this instance's turn. */
  tick(): void {
    const { registry, nowMs, onNews } = this.#context;
    const news = registry.settle(nowMs());
    if (news.length > 0) this.#log(news, 'settled');
    if (news.length > 0) onNews();
    if (!this.#isReading && nowMs() >= this.#nextReadMs) void this.#read();
  }

  /**
   * Takes a read that another instance made.
   *
   * @param page - what was read, and where the read began
   */
  take(page: EndpointPage & { readonly fromOffset?: number }): void {
    const { registry } = this.#context;
    const { offset } = registry;
    // A read that begins after what is known here would leave a gap.
    const fits = page.isWhole || (offset !== undefined && (page.fromOffset ?? 0) <= offset);
    if (!fits || (offset !== undefined && page.nextOffset < offset)) return;
    this.#apply(page, 'peer');
    this.#schedule();
  }

  /** Notes trouble of the store that another part saw. */
  storeFailed(): void {
    this.#shakenUntilMs = this.#context.nowMs() + SHAKEN_MS;
  }

  async #read(): Promise<void> {
    const { store, registry, nowMs, logger, relay } = this.#context;
    this.#isReading = true;
    const fromOffset = registry.offset;
    try {
      const page = await store.readEndpoints(fromOffset);
      if (this.#failureCount > 0) {
        // Entries may have lapsed while nobody could renew them.
        this.#shakenUntilMs = nowMs() + SHAKEN_MS;
        logger.info('list_regained', 'the list of endpoints can be read again', {
          failures: this.#failureCount,
          ageMs: Math.round(this.ageMs(nowMs())),
        });
      }
      this.#failureCount = 0;
      const changes = page.isWhole ? page.changes : registry.alterations(page);
      this.#apply(page, 'store');
      relay({ ...page, changes, fromOffset });
      this.#schedule();
    } catch (error) {
      this.#failureCount += 1;
      this.storeFailed();
      if (this.#failureCount === 1) {
        logger.warn('list_lost', 'the list of endpoints cannot be read', {
          error: (error as Error).message,
          ageMs: Math.round(this.ageMs(nowMs())),
        });
      }
      this.#nextReadMs = nowMs() + Math.min(BACKOFF_MAX_MS, 100 * 2 ** this.#failureCount);
    } finally {
      this.#isReading = false;
    }
  }

  #schedule(): void {
    const { nowMs, rank } = this.#context;
    this.#nextReadMs = nowMs() + READ_PERIOD_MS + STAGGER_MS * Math.min(STAGGER_COUNT, rank());
  }

  #apply(page: EndpointPage, source: string): void {
    const { registry, nowMs, onNews } = this.#context;
    this.#freshMs = nowMs();
    const news = registry.apply(page, nowMs(), nowMs() < this.#shakenUntilMs);
    this.#log(news, source);
    onNews();
  }

  #log(news: readonly EndpointNews[], source: string): void {
    const { logger, registry } = this.#context;
    news.forEach(({ id, what, service }) => {
      const fields = { endpoint: id, service, what, source, offset: registry.offset };
      logger.info('endpoint_news', `endpoint ${what}`, fields);
    });
  }
}
