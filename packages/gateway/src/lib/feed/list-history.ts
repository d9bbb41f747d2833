import { isDeepStrictEqual } from 'node:util';
import type { EndpointRecord } from '@chervilseam/model';
import type { EndpointChange } from '../ports/endpoint-change.js';
import type { ListUpdate } from './list-update.js';
import { UpdateOutcome } from './update-outcome.js';

/** Time for which it is known that an entry was removed, in milliseconds. */
const REMOVAL_RETENTION_MS = 30_000;

interface ListEntry {
  /** The entry as it was written; `undefined` once it was removed. */
  readonly record?: EndpointRecord;
  /** The last record before the removal if that was draining. */
  readonly lastDraining?: EndpointRecord;
  /** Offset of the list at which the change was learnt; the change itself is at most that old. */
  readonly changedOffset: number;
  readonly changedMs: number;
}

/**
 * The list of endpoints as it was written, with the offset at which each entry changed last, so that an instance at an
 * earlier offset can be told exactly what it lacks.
 */
export class ListHistory {
  readonly #entries = new Map<string, ListEntry>();
  #offset: number | undefined;
  /** Offset from which on every change is known. */
  #completeFrom = Infinity;
  /** Offset before the last change of the list of which only the net effect is known. */
  #netFrom: number | undefined;

  /** Log offset of the list; `undefined` before the first read. */
  get offset(): number | undefined {
    return this.#offset;
  }

  /**
   * @param update - what another instance tells
   * @returns whether it can be applied here
   */
  outcomeOf(update: ListUpdate): UpdateOutcome {
    if (update.nextOffset === this.#offset) return UpdateOutcome.current;
    if (update.nextOffset < (this.#offset ?? 0)) return UpdateOutcome.old;
    if (update.isWhole) return UpdateOutcome.applied;
    const { fromOffset = 0 } = update;
    if (this.#offset === undefined || fromOffset > this.#offset) return UpdateOutcome.gap;
    if (!update.isNet || fromOffset === this.#offset) return UpdateOutcome.applied;
    return this.#isTold(update) ? UpdateOutcome.applied : UpdateOutcome.gap;
  }

  /**
   * @param page - a read of the list, or an update from another instance that can be applied
   * @param nowMs - monotonic clock, in milliseconds
   * @param isUnsettled - whether an entry is not what counts here, so that it is news to others each time it is written
   */
  apply(
    page: ListUpdate,
    nowMs: number,
    isUnsettled: (record: EndpointRecord) => boolean = () => false,
  ): void {
    const { nextOffset } = page;
    const removed = page.isWhole ? this.#missingFrom(page.changes) : [];
    [...page.changes, ...removed].forEach((change) => {
      // Whatever another instance tells has changed, and may have changed back to what is known here.
      if (page.fromOffset === undefined && !this.#isChange(change, isUnsettled)) return;
      const { id, record } = change;
      const previous = this.#entries.get(id)?.record;
      this.#entries.set(id, {
        record,
        lastDraining: !record && previous?.isDraining ? previous : undefined,
        changedOffset: nextOffset,
        changedMs: nowMs,
      });
    });
    if (page.isWhole || page.isNet) {
      this.#completeFrom = nextOffset;
      this.#netFrom = this.#offset;
    }
    this.#offset = nextOffset;
  }

  /**
   * @param fromOffset - offset of the list that another instance has
   * @returns what has changed since then; `undefined` when that is not known here, since it is too long ago or the
   *   other instance is ahead of this one
   */
  since(fromOffset: number | undefined): ListUpdate | undefined {
    if (fromOffset === undefined || this.#offset === undefined) return undefined;
    if (fromOffset > this.#offset) return undefined;
    if (fromOffset >= this.#completeFrom) return this.#update(fromOffset);
    if (this.#netFrom === undefined || fromOffset < this.#netFrom) return undefined;
    return { ...this.#update(this.#netFrom), isNet: true };
  }

  /** The whole list, for an instance that can neither be told what has changed nor read the store. */
  get whole(): ListUpdate | undefined {
    if (this.#offset === undefined) return undefined;
    const changes = [...this.#entries].flatMap(([id, { record }]) =>
      record ? [{ id, record }] : [],
    );
    return { isWhole: true, changes, nextOffset: this.#offset };
  }

  /**
   * Forgets removals that no other instance needs to be told any more.
   *
   * @param nowMs - monotonic clock, in milliseconds
   */
  expire(nowMs: number): void {
    this.#entries.forEach(({ record, changedOffset, changedMs }, id) => {
      if (record || nowMs < changedMs + REMOVAL_RETENTION_MS) return;
      this.#entries.delete(id);
      this.#completeFrom = Math.max(this.#completeFrom, changedOffset);
      this.#netFrom = undefined;
    });
  }

  // Whether a net update has every entry that is known to have changed here since it begins: others may have changed back.
  #isTold({ fromOffset = 0, changes }: ListUpdate): boolean {
    if (fromOffset < this.#completeFrom) return false;
    const told = new Set(changes.map(({ id }) => id));
    return [...this.#entries].every(
      ([id, { changedOffset }]) => changedOffset <= fromOffset || told.has(id),
    );
  }

  #update(fromOffset: number): ListUpdate {
    const changes = [...this.#entries].flatMap(([id, entry]): EndpointChange[] => {
      const { record, lastDraining, changedOffset } = entry;
      if (changedOffset <= fromOffset) return [];
      // Whoever holds a removal in doubt has to know that the endpoint was draining.
      return lastDraining ? [{ id, record: lastDraining }, { id }] : [{ id, record }];
    });
    return { isWhole: false, changes, fromOffset, nextOffset: this.#offset as number };
  }

  #missingFrom(changes: readonly EndpointChange[]): EndpointChange[] {
    const listed = new Set(changes.map(({ id }) => id));
    return [...this.#entries.keys()].flatMap((id) => (listed.has(id) ? [] : [{ id }]));
  }

  #isChange(
    { id, record }: EndpointChange,
    isUnsettled: (record: EndpointRecord) => boolean,
  ): boolean {
    const known = this.#entries.get(id);
    if (!record) return known === undefined || known.record !== undefined;
    return isUnsettled(record) || !isDeepStrictEqual(known?.record, record);
  }
}
