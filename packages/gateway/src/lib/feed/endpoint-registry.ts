import { eraNumber } from '@chervilseam/model';
import type { EndpointRecord } from '@chervilseam/model';
import type { EndpointPage } from '../ports/endpoint-page.js';
import { Endpoint } from './endpoint.js';
import type { EndpointTransition } from './endpoint-transition.js';
import { ListHistory } from './list-history.js';
import type { ListUpdate } from './list-update.js';
import { runIdOf } from './run-id-of.js';
import type { UpdateOutcome } from './update-outcome.js';

/** Time that an endpoint that has left is kept, so that its last answers complete, in milliseconds. */
const LEFT_RETENTION_MS = 30_000;
/** Greatest number of runs that are published as about to exit. */
const ANNOUNCED_RUN_COUNT_MAX = 64;
/**
 * Number of reads in a row with an entry of an earlier run of an endpoint that is taken for a late one. A
 * process that goes on writing such entries is the one that runs, and the later start was an odd value.
 */
const LATE_ENTRY_COUNT_MAX = 2;

/**
 * Time after the store came back from a copy in which an endpoint that the copy lacks may write its entry again, in
 * milliseconds. The bound for leaving endpoints holds only afterwards.
 */
const REWRITE_MS = 2_500;
/**
 * Time for which an endpoint that has left does not come back because a copy of the store still lists it, unless it writes
 * its entry again, in milliseconds: longer than the store keeps the entries of endpoints that are silent.
 */
const COPIED_ENTRY_DOUBT_MS = 5_000;

/** An entry in a copy of the store, of an endpoint that was known to have left. */
interface CopiedEntry {
  readonly record: EndpointRecord;
  /** Time from which the entry is believed if it is still listed, in milliseconds. */
  readonly untilMs: number;
}

/** Endpoints by service, according to the platform's list of endpoints. */
export class EndpointRegistry {
  readonly #endpoints = new Map<string, Endpoint>();
  /**
   * Time from which each suspected endpoint counts as gone, in milliseconds, by its id. An endpoint is
   * suspected when its entry vanishes while the store is unstable.
   */
  readonly #suspected = new Map<string, number>();
  /** Reads in a row with an entry of an earlier run, and the offset of the last one, by the endpoint's id. */
  readonly #lateEntries = new Map<string, { readonly count: number; readonly offset?: number }>();
  /** Endpoints that have announced that they are about to exit, in the order of their announcements. */
  readonly #announced = new Set<string>();
  /** Entries in a copy of the store that are not believed yet, by the endpoint's id. */
  readonly #copied = new Map<string, CopiedEntry>();
  readonly #suspicionMs: number;
  readonly #history = new ListHistory();
  #byService = new Map<string, Endpoint[]>();

  /**
   * @param suspicionMs - time after which a suspected endpoint counts as gone, in milliseconds: a live endpoint whose
   *   entry expired during an outage of the store is listed again soon after the outage
   */
  constructor(suspicionMs: number) {
    this.#suspicionMs = suspicionMs;
  }

  /** Log offset where the next read of the list begins; `undefined` before the first read. */
  get offset(): number | undefined {
    return this.#history.offset;
  }

  /** All endpoints that have not left. */
  get all(): readonly Endpoint[] {
    return [...this.#byService.values()].flat();
  }

  /** @returns endpoints of a service that have not left, including draining ones */
  ofService(service: string): readonly Endpoint[] {
    return this.#byService.get(service) ?? [];
  }

  /** @returns an endpoint by its identity, including one that has left recently */
  get(id: string): Endpoint | undefined {
    return this.#endpoints.get(id);
  }

  /** @returns an endpoint by the identity of the run of its process that is known here */
  ofRun(run: string): Endpoint | undefined {
    const known = this.#endpoints.get(run.slice(0, run.lastIndexOf('@')));
    return known && runIdOf(known.record) === run ? known : undefined;
  }

  /**
   * Applies a read of the list, or an update from another instance that can be applied.
   *
   * @param page - result of the read
   * @param nowMs - monotonic clock, in milliseconds
   * @param isStoreUnstable - whether the store failed recently: entries of live endpoints may have expired
   * @returns the changes of endpoints
   */
  apply(page: ListUpdate, nowMs: number, isStoreUnstable: boolean): EndpointTransition[] {
    const { offset } = this;
    if (!page.isWhole && offset !== undefined && page.nextOffset <= offset) return [];
    const isCopy = eraNumber.isNewEra(offset, page.nextOffset);
    const doubtMs = EndpointRegistry.#doubtMs(isCopy, isStoreUnstable, this.#suspicionMs);
    const doubted = new Set(this.#copied.keys());
    // An entry in a whole list may be the one in the copy; a change of the list has been written since.
    const isWritten = !page.isWhole && !page.isNet;
    page.changes.forEach(({ id, record }) => {
      if (isWritten || !record) this.#copied.delete(id);
    });
    const transitions = this.#withoutRemoved(page.changes).flatMap(({ id, record }) => {
      if (!record) return this.#remove(id, nowMs, doubtMs);
      if (isCopy && (this.#isCopied(record) || this.#isGone(record))) {
        return this.#doubtCopied(record, nowMs);
      }
      return this.#isCopied(record) ? [] : this.#addIfUsable(record);
    });
    if (page.isWhole) {
      const missing = this.#missingFrom(page);
      missing.forEach((id) => this.#copied.delete(id));
      transitions.push(...missing.flatMap((id) => this.#remove(id, nowMs, doubtMs)));
    }
    // A late entry of an earlier run has to be sent again until it is accepted or replaced, and others may still wait for
    // an entry to be written again.
    this.#history.apply(page, nowMs, ({ id, bornMs }) => {
      const known = this.#endpoints.get(id);
      return doubted.has(id) || (known !== undefined && known.record.bornMs !== bornMs);
    });
    this.#index();
    return transitions;
  }

  /**
   * @param update - changes that another instance sent
   * @returns whether it can be applied here
   */
  outcomeOf(update: ListUpdate): UpdateOutcome {
    return this.#history.outcomeOf(update);
  }

  /**
   * @param offset - log offset of the list of another instance
   * @returns the changes since then; `undefined` when they are not known here
   */
  since(offset: number | undefined): ListUpdate | undefined {
    return this.#history.since(offset);
  }

  /** The whole list, for another instance; `undefined` before the first read. */
  get whole(): ListUpdate | undefined {
    return this.#history.whole;
  }

  /**
   * Marks suspected endpoints that are due as left, and removes those that left more than
   * `LEFT_RETENTION_MS` ago.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @param isCurrent - whether the list has been read recently, so that entries in it that a copy of the store may have
   *   brought back are believed when they are due
   * @returns the changes of endpoints
   */
  expire(nowMs: number, isCurrent = true): EndpointTransition[] {
    const due = [...this.#suspected].filter(([, untilMs]) => nowMs >= untilMs);
    const transitions = due.flatMap(([id]) => this.#remove(id, nowMs, 0));
    const believed = [...this.#copied].filter(([, { untilMs }]) => isCurrent && nowMs >= untilMs);
    believed.forEach(([id]) => this.#copied.delete(id));
    transitions.push(...believed.flatMap(([, { record }]) => this.#addIfUsable(record)));
    this.#endpoints.forEach((endpoint, id) => {
      if (endpoint.leftMs === undefined || nowMs < endpoint.leftMs + LEFT_RETENTION_MS) return;
      endpoint.close();
      this.#endpoints.delete(id);
      this.#lateEntries.delete(id);
      this.#announced.delete(id);
    });
    this.#history.expire(nowMs);
    if (transitions.length > 0) this.#index();
    return transitions;
  }

  /** The latest runs of endpoints that have announced that they are about to exit while the list has them as active. */
  get announcedRuns(): readonly string[] {
    return [...this.#announced]
      .flatMap((id) => this.#endpoints.get(id) ?? [])
      .filter(({ hasAnnouncedLeaving, leftMs }) => hasAnnouncedLeaving && leftMs === undefined)
      .filter(({ record }) => !record.isDraining)
      .slice(-ANNOUNCED_RUN_COUNT_MAX)
      .map(({ record }) => runIdOf(record));
  }

  /**
   * Records that a run of an endpoint has announced that it is about to exit.
   *
   * @param run - identity of the run
   * @returns the changes of endpoints
   */
  announceLeaving(run: string): EndpointTransition[] {
    const known = this.ofRun(run);
    if (!known || known.hasAnnouncedLeaving) return [];
    const wasLeaving = known.isLeaving;
    known.announceLeaving();
    this.#announced.delete(known.id);
    this.#announced.add(known.id);
    return wasLeaving ? [] : [{ id: known.id, service: known.record.service, what: 'draining' }];
  }

  /** Closes the connections to all endpoints. */
  close(): void {
    this.#endpoints.forEach((endpoint) => endpoint.close());
  }

  // Omits endpoints that the read ends with as removed and that get no requests here already: its earlier changes may be
  // older than the state known here, and would add the endpoint again.
  #withoutRemoved(changes: EndpointPage['changes']): EndpointPage['changes'] {
    const last = new Map(changes.map(({ id, record }) => [id, record]));
    return changes.filter(({ id }) => {
      const known = this.#endpoints.get(id);
      if (last.get(id) !== undefined) return true;
      if (known === undefined || known.leftMs !== undefined) return false;
      return !(this.#suspected.has(id) && known.isLeaving);
    });
  }

  #missingFrom({ changes }: EndpointPage): string[] {
    const listed = new Set(changes.flatMap(({ id, record }) => (record ? [id] : [])));
    return [...this.#endpoints.keys()].filter((id) => !listed.has(id));
  }

  // One entry that cannot be used must not keep the others of its page from being applied.
  #addIfUsable(record: EndpointRecord): EndpointTransition[] {
    try {
      return this.#add(record);
    } catch {
      return [{ id: record.id, service: record.service, what: 'refused' }];
    }
  }

  #add(record: EndpointRecord): EndpointTransition[] {
    this.#suspected.delete(record.id);
    const known = this.#endpoints.get(record.id);
    const { id, service } = record;
    if (known && record.bornMs < known.record.bornMs && this.#isLate(id)) return [];
    this.#lateEntries.delete(id);
    const isSameRun =
      known?.record.bornMs === record.bornMs &&
      known.record.host === record.host &&
      known.record.port === record.port;
    if (known && isSameRun) {
      const hadLeft = known.leftMs !== undefined;
      const wasLeaving = known.isLeaving;
      known.update(record);
      if (hadLeft) return [{ id, service, what: 'joined' }];
      return known.isLeaving && !wasLeaving ? [{ id, service, what: 'draining' }] : [];
    }
    known?.close();
    this.#endpoints.set(id, new Endpoint(record));
    return [{ id, service, what: 'joined' }];
  }

  // Whether a record of an earlier run of the endpoint's process is taken for a late one.
  #isLate(id: string): boolean {
    const { count = 0, offset } = this.#lateEntries.get(id) ?? {};
    // A read may have several entries of the same run.
    if (count > 0 && offset === this.offset) return true;
    this.#lateEntries.set(id, { count: count + 1, offset: this.offset });
    return count < LATE_ENTRY_COUNT_MAX;
  }

  static #doubtMs(isCopy: boolean, isStoreUnstable: boolean, suspicionMs: number): number {
    if (isCopy) return REWRITE_MS;
    return isStoreUnstable ? suspicionMs : 0;
  }

  // Whether the run of an endpoint that a record describes has left, or is suspected of it.
  #isGone({ id, bornMs }: EndpointRecord): boolean {
    const known = this.#endpoints.get(id);
    if (!known || known.record.bornMs !== bornMs) return false;
    return known.leftMs !== undefined || this.#suspected.has(id);
  }

  #isCopied({ id, bornMs }: EndpointRecord): boolean {
    return this.#copied.get(id)?.record.bornMs === bornMs;
  }

  #doubtCopied(record: EndpointRecord, nowMs: number): EndpointTransition[] {
    const { id, service } = record;
    this.#copied.set(id, { record, untilMs: nowMs + COPIED_ENTRY_DOUBT_MS });
    return [{ id, service, what: 'doubted' }];
  }

  // Without a time for which the removal is doubted, the endpoint has left at once.
  #remove(id: string, nowMs: number, doubtMs: number): EndpointTransition[] {
    const known = this.#endpoints.get(id);
    if (!known || known.leftMs !== undefined) return [];
    const { service } = known.record;
    if (doubtMs > 0) {
      if (this.#suspected.has(id)) return [];
      this.#suspected.set(id, nowMs + doubtMs);
      return [{ id, service, what: 'doubted' }];
    }
    this.#suspected.delete(id);
    known.leave(nowMs);
    return [{ id, service, what: 'left' }];
  }

  #index(): void {
    const byService = new Map<string, Endpoint[]>();
    this.#endpoints.forEach((endpoint) => {
      if (endpoint.leftMs !== undefined) return;
      const list = byService.get(endpoint.record.service) ?? [];
      list.push(endpoint);
      byService.set(endpoint.record.service, list);
    });
    this.#byService = byService;
  }
}
