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
   * @param update - changes that another instance sent
   * @returns whether they can be applied here
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
   * @param isUnsettled - whether an entry has to be sent to others although it is unchanged
   */
  apply(
    page: ListUpdate,
    nowMs: number,
    isUnsettled: (record: EndpointRecord) => boolean = () => false,
  ): void {
    const { nextOffset } = page;
    const removed = page.isWhole ? this.#missingFrom(page.changes) : [];
    [...page.changes, ...removed].forEach((change) => {
      // An entry that another instance sent has changed, even if it equals the one known here: it may have changed back.
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
   * @param fromOffset - log offset of the list of another instance
   * @returns the changes since then; `undefined` when they are not known here, as they are too old or newer than this list
   */
  since(fromOffset: number | undefined): ListUpdate | undefined {
    if (fromOffset === undefined || this.#offset === undefined) return undefined;
    if (fromOffset > this.#offset) return undefined;
    if (fromOffset >= this.#completeFrom) return this.#update(fromOffset);
    if (this.#netFrom === undefined || fromOffset < this.#netFrom) return undefined;
    return { ...this.#update(this.#netFrom), isNet: true };
  }

  /** The whole list, for another instance; `undefined` before the first read. */
  get whole(): ListUpdate | undefined {
    if (this.#offset === undefined) return undefined;
    const changes = [...this.#entries].flatMap(([id, { record }]) =>
      record ? [{ id, record }] : [],
    );
    return { isWhole: true, changes, nextOffset: this.#offset };
  }

  /**
   * Removes the entries of endpoints that were removed long ago.
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
