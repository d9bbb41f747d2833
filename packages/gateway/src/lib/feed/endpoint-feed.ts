import type { PartLogger } from '@chervilseam/observe';
import type { EndpointPage } from '../ports/endpoint-page.js';
import type { StateStore } from '../ports/state-store.js';
import type { EndpointRegistry } from './endpoint-registry.js';
import type { EndpointTransition } from './endpoint-transition.js';
import { PageOutcome } from './page-outcome.js';

/** Additional delay per rank before an instance reads the list itself, in milliseconds. */
const STAGGER_MS = 110;
/** Highest rank with a delay of its own; all higher ranks have the same delay. */
const STAGGERED_RANK_MAX = 6;
/**
 * Time after a failure of the store in which entries of live endpoints may be missing, in
 * milliseconds.
 */
const STORE_UNSTABLE_MS = 2_500;
/** Longest backoff after failed reads, in milliseconds. */
const BACKOFF_MAX_MS = 800;
/** Shortest time between two log lines on pages that were refused, in milliseconds. */
const REFUSAL_LOG_MS = 1_000;

/** Dependencies of the feed. */
interface EndpointFeedContext {
  readonly store: StateStore;
  readonly registry: EndpointRegistry;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  /** Time between two reads of the list by the instance that reads it, in milliseconds. */
  readonly readPeriodMs: number;
  /** Rank of this instance among those that may read the list; 0 reads first, Infinity last. */
  readonly rank: () => number;
  /** Sends a read to the other instances; `fromOffset` is where the read began. */
  readonly relay: (page: EndpointPage & { readonly fromOffset?: number }) => void;
  /** Called for each page of another instance. */
  readonly onPage: (outcome: PageOutcome) => void;
  /** Called with the age of the list, in milliseconds, whenever a newer one replaces it. */
  readonly onReplaced: (ageMs: number) => void;
  /** Called after a read was applied or a suspected endpoint has left. */
  readonly onTransitions: () => void;
}

/**
 * Keeps the list of endpoints up to date. One instance reads it and sends what it read to the others;
 * an instance that receives no read for a time that grows with its rank reads the list itself, so no
 * reader has to be elected.
 */
export class EndpointFeed {
  readonly #context: EndpointFeedContext;
  #isReading = false;
  #nextReadMs = 0;
  #failureCount = 0;
  #storeUnstableUntilMs = 0;
  #appliedMs = -Infinity;
  #refusalLoggedMs = -Infinity;
  /** Pages refused since the last log line on one. */
  #refusalCount = 0;

  /** @param context - dependencies of the feed */
  constructor(context: EndpointFeedContext) {
    this.#context = context;
  }

  /** Whether the list has been read at least once. */
  get isLoaded(): boolean {
    return this.#context.registry.offset !== undefined;
  }

  /** Log offset of the list known here; `undefined` before the first read. */
  get offset(): number | undefined {
    return this.#context.registry.offset;
  }

  /** @returns time since the last read was applied, in milliseconds; Infinity before the first */
  ageMs(nowMs: number): number {
    return nowMs - this.#appliedMs;
  }

  /** Marks suspected endpoints that are due as left, and reads the list when a read is due. */
  tick(): void {
    const { registry, nowMs, onTransitions } = this.#context;
    const transitions = registry.expire(nowMs());
    if (transitions.length > 0) this.#logTransitions(transitions, 'settled');
    if (transitions.length > 0) onTransitions();
    if (!this.#isReading && nowMs() >= this.#nextReadMs) void this.#read();
  }

  /**
   * Applies a read that another instance made.
   *
   * @param page - result of the read, and the log offset where it began
   * @param from - name of the instance that sent it
   */
  applyPeerRead(page: EndpointPage & { readonly fromOffset?: number }, from: string): void {
    const outcome = this.#outcomeOf(page);
    this.#context.onPage(outcome);
    if (outcome === PageOutcome.gap) this.#logRefusal(page, from);
    const { offset } = this.#context.registry;
    if (outcome === PageOutcome.gap || page.nextOffset < (offset ?? 0)) return;
    this.#apply(page, 'peer', from);
    this.#schedule();
  }

  /**
   * Records that runs of endpoints have announced that they are about to exit: an engine's own word may be
   * known sooner than the list, and while the list cannot be read.
   *
   * @param runs - identities of the runs
   * @param source - where that was learnt, for the log
   */
  announceLeaving(runs: readonly string[], source: 'answer' | 'peer'): void {
    const { registry, onTransitions } = this.#context;
    const transitions = runs.flatMap((run) => registry.announceLeaving(run));
    if (transitions.length === 0) return;
    this.#logTransitions(transitions, source);
    onTransitions();
  }

  /** Records a failed call of the store, which another part of the instance may have made. */
  noteStoreFailure(): void {
    this.#storeUnstableUntilMs = this.#context.nowMs() + STORE_UNSTABLE_MS;
  }

  #outcomeOf(page: EndpointPage & { readonly fromOffset?: number }): PageOutcome {
    const { offset } = this.#context.registry;
    if (offset !== undefined && page.nextOffset <= offset) return PageOutcome.old;
    if (page.isWhole) return PageOutcome.applied;
    const isContiguous = offset !== undefined && (page.fromOffset ?? 0) <= offset;
    return isContiguous ? PageOutcome.applied : PageOutcome.gap;
  }

  #logRefusal(
    { fromOffset, nextOffset }: { fromOffset?: number; nextOffset: number },
    from: string,
  ): void {
    const { nowMs, logger, registry } = this.#context;
    this.#refusalCount += 1;
    if (nowMs() < this.#refusalLoggedMs + REFUSAL_LOG_MS) return;
    this.#refusalLoggedMs = nowMs();
    logger.info('page_refused', 'a page of the list begins after the offset known here', {
      from,
      fromOffset,
      nextOffset,
      offset: registry.offset,
      ageMs: Math.round(this.ageMs(nowMs())),
      count: this.#refusalCount,
    });
    this.#refusalCount = 0;
  }

  async #read(): Promise<void> {
    const { store, registry, nowMs, logger, relay } = this.#context;
    this.#isReading = true;
    const fromOffset = registry.offset;
    try {
      const page = await store.readEndpoints(fromOffset);
      if (this.#failureCount > 0) {
        // Entries may have lapsed while endpoints could not renew them.
        this.#storeUnstableUntilMs = nowMs() + STORE_UNSTABLE_MS;
        logger.info('list_regained', 'the list of endpoints can be read again', {
          failures: this.#failureCount,
          ageMs: Math.round(this.ageMs(nowMs())),
        });
      }
      this.#failureCount = 0;
      const relayed = registry.effectivePage(page, fromOffset);
      this.#apply(page, 'store');
      relay(relayed);
      this.#schedule();
    } catch (error) {
      this.#failureCount += 1;
      this.noteStoreFailure();
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
    const { nowMs, rank, readPeriodMs } = this.#context;
    this.#nextReadMs = nowMs() + readPeriodMs + STAGGER_MS * Math.min(STAGGERED_RANK_MAX, rank());
  }

  #apply(page: EndpointPage, source: string, from?: string): void {
    const { registry, nowMs, onTransitions, onReplaced } = this.#context;
    if (this.isLoaded) onReplaced(this.ageMs(nowMs()));
    this.#appliedMs = nowMs();
    const transitions = registry.apply(page, nowMs(), nowMs() < this.#storeUnstableUntilMs);
    this.#logTransitions(transitions, source, from);
    onTransitions();
  }

  #logTransitions(transitions: readonly EndpointTransition[], source: string, from?: string): void {
    const { logger, registry } = this.#context;
    transitions.forEach(({ id, what, service }) => {
      const fields = { endpoint: id, service, what, source, from, offset: registry.offset };
      logger.info('endpoint_news', `endpoint ${what}`, fields);
    });
  }
}
