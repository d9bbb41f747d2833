import { eraNumber } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { StateStore } from '../ports/state-store.js';
import { StoreBusyError } from '../ports/store-busy-error.js';
import type { EndpointRegistry } from './endpoint-registry.js';
import type { EndpointTransition } from './endpoint-transition.js';
import type { ListUpdate } from './list-update.js';
import { UpdateOutcome } from './update-outcome.js';

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
/** Shortest time from the end of a read to the next one, as a share of the time between two reads. */
const READ_PAUSE_SHARE = 0.5;
/** Time from an update that does not fit to an own read, unless one that fits arrives first, in milliseconds. */
const GAP_READ_DELAY_MS = 200;
/** Age up to which the list shows what the store has removed, in milliseconds. */
const CURRENT_AGE_MS = 1_500;
/** Shortest time between two log lines on updates that were refused, in milliseconds. */
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
  /** Sends the changes since `previousOffset` to the other instances; called after each read. */
  readonly relay: (previousOffset: number | undefined) => void;
  /** Called for each update from another instance. */
  readonly onUpdate: (outcome: UpdateOutcome) => void;
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
  /** When a call of the store last failed for another reason than too many calls, in milliseconds. */
  #outageMs = -Infinity;
  /** When the read began that the list known here comes from, in milliseconds. */
  #readMs = -Infinity;
  /** Greatest offset that a refused update named: the list is known to have gone on up to there. */
  #offsetAhead = -Infinity;
  /** Until when the store is not called after failed reads, in milliseconds. */
  #backoffUntilMs = -Infinity;
  #refusalLoggedMs = -Infinity;
  /** Updates refused since the last log line on one. */
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

  /** Whether the last read of the store failed. */
  get isReadFailing(): boolean {
    return this.#failureCount > 0;
  }

  /** Time since the start of the read that the list comes from, in milliseconds; Infinity before the first. */
  get ageMs(): number {
    return this.#context.nowMs() - this.#readMs;
  }

  /** The whole list, for another instance; `undefined` before the first read. */
  get whole(): ListUpdate | undefined {
    return this.#context.registry.whole;
  }

  /**
   * @param offset - log offset of the list of another instance
   * @returns the changes since then; `undefined` when they are not known here
   */
  since(offset: number | undefined): ListUpdate | undefined {
    return this.#context.registry.since(offset);
  }

  /** Marks suspected endpoints that are due as left, and reads the list when a read is due. */
  tick(): void {
    const { registry, nowMs, onTransitions } = this.#context;
    const transitions = registry.expire(nowMs(), this.ageMs < CURRENT_AGE_MS);
    if (transitions.length > 0) this.#logTransitions(transitions, 'settled');
    if (transitions.length > 0) onTransitions();
    if (!this.#isReading && nowMs() >= this.#nextReadMs) void this.#read();
  }

  /**
   * Applies the changes of the list that another instance sent.
   *
   * @param update - the changes
   * @param from - name of the instance that sent it
   */
  applyUpdate(update: ListUpdate, from: string): void {
    const outcome = this.#context.registry.outcomeOf(update);
    this.#context.onUpdate(outcome);
    if (outcome === UpdateOutcome.gap) this.#noteGap(update, from);
    if (outcome === UpdateOutcome.gap || outcome === UpdateOutcome.old) return;
    // An update that was delayed does not show that the list is still current.
    const isOutdated = update.nextOffset < this.#offsetAhead;
    if (outcome === UpdateOutcome.current && isOutdated) return;
    const { nowMs } = this.#context;
    this.#apply(update, nowMs() - (update.ageMs ?? 0), 'peer', from);
    if (!isOutdated) this.#schedule();
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

  /**
   * Records a failed call of the store, which another part of the instance may have made.
   *
   * @param error - why it failed
   */
  noteStoreFailure(error: unknown): void {
    // Endpoints can renew their entries at a store that only refuses calls of the instances.
    if (error instanceof StoreBusyError) return;
    this.#outageMs = this.#context.nowMs();
    this.#storeUnstableUntilMs = this.#outageMs + STORE_UNSTABLE_MS;
  }

  // The sender may send the missing changes once it has the answer; otherwise they have to be read.
  #noteGap(update: ListUpdate, from: string): void {
    this.#offsetAhead = Math.max(this.#offsetAhead, update.nextOffset);
    const dueMs = this.#context.nowMs() + GAP_READ_DELAY_MS;
    this.#nextReadMs = Math.min(this.#nextReadMs, Math.max(dueMs, this.#backoffUntilMs));
    this.#logRefusal(update, from);
  }

  #logRefusal({ fromOffset, nextOffset }: ListUpdate, from: string): void {
    const { nowMs, logger, registry } = this.#context;
    this.#refusalCount += 1;
    if (nowMs() < this.#refusalLoggedMs + REFUSAL_LOG_MS) return;
    this.#refusalLoggedMs = nowMs();
    logger.info(
      'update_refused',
      'an update of the list does not cover all changes since the offset known here',
      {
        from,
        fromOffset: eraNumber.shown(fromOffset),
        nextOffset: eraNumber.shown(nextOffset),
        offset: eraNumber.shown(registry.offset),
        ageMs: Math.round(this.ageMs),
        count: this.#refusalCount,
      },
    );
    this.#refusalCount = 0;
  }

  async #read(): Promise<void> {
    const { store, registry, nowMs, logger, relay } = this.#context;
    this.#isReading = true;
    const fromOffset = registry.offset;
    const startMs = nowMs();
    try {
      const page = await store.readEndpoints(fromOffset);
      if (this.#failureCount > 0) {
        // Entries may have lapsed while endpoints could not renew them, unless others have read the list since.
        const isOlder = this.#readMs < this.#outageMs;
        if (isOlder) this.#storeUnstableUntilMs = nowMs() + STORE_UNSTABLE_MS;
        logger.info('list_regained', 'the list of endpoints can be read again', {
          failures: this.#failureCount,
          ageMs: Math.round(this.ageMs),
        });
      }
      this.#failureCount = 0;
      this.#offsetAhead = -Infinity;
      const { offset } = registry;
      // Another instance may have sent newer changes during the read, or may have heard from the store since it came back
      // from a copy.
      const isOvertaken =
        page.nextOffset < (offset ?? 0) &&
        (offset !== fromOffset || eraNumber.isNewEra(page.nextOffset, offset));
      if (!isOvertaken) this.#apply(page, startMs, 'store');
      relay(offset);
      this.#schedule(READ_PAUSE_SHARE);
    } catch (error) {
      this.#failureCount += 1;
      this.noteStoreFailure(error);
      if (this.#failureCount === 1) {
        logger.warn('list_lost', 'the list of endpoints cannot be read', {
          error: (error as Error).message,
          ageMs: Math.round(this.ageMs),
        });
      }
      this.#backoffUntilMs = nowMs() + Math.min(BACKOFF_MAX_MS, 100 * 2 ** this.#failureCount);
      this.#nextReadMs = this.#backoffUntilMs;
    } finally {
      this.#isReading = false;
    }
  }

  // The next read is due when the list is too old, however long it was on its way here.
  #schedule(pauseShare = 0): void {
    const { nowMs, rank, readPeriodMs } = this.#context;
    const dueMs = this.#readMs + readPeriodMs + STAGGER_MS * Math.min(STAGGERED_RANK_MAX, rank());
    this.#nextReadMs = Math.max(dueMs, nowMs() + pauseShare * readPeriodMs);
  }

  #apply(page: ListUpdate, readMs: number, source: string, from?: string): void {
    const { registry, nowMs, onTransitions, onReplaced } = this.#context;
    if (this.isLoaded) onReplaced(this.ageMs);
    this.#readMs = Math.max(this.#readMs, readMs);
    if (eraNumber.isNewEra(registry.offset, page.nextOffset)) {
      this.#storeUnstableUntilMs = nowMs() + STORE_UNSTABLE_MS;
      this.#offsetAhead = -Infinity;
    }
    const transitions = registry.apply(page, nowMs(), nowMs() < this.#storeUnstableUntilMs);
    this.#logTransitions(transitions, source, from);
    onTransitions();
  }

  #logTransitions(transitions: readonly EndpointTransition[], source: string, from?: string): void {
    const { logger, registry } = this.#context;
    transitions.forEach(({ id, what, service }) => {
      const offset = eraNumber.shown(registry.offset);
      const fields = { endpoint: id, service, what, source, from, offset };
      logger.info('endpoint_news', `endpoint ${what}`, fields);
    });
  }
}
