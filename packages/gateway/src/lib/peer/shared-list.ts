import type { ListUpdate } from '../feed/list-update.js';

/** This instance's list of endpoints, as the exchange with other instances uses it. */
export interface SharedList {
  /** Log offset of the list; `undefined` before the first read. */
  readonly offset: number | undefined;
  /** Time since the start of the read that the list comes from, in milliseconds. */
  readonly ageMs: number;
  /** Whether the last read of the store failed. */
  readonly isReadFailing: boolean;
  /** The whole list; `undefined` before the first read. */
  readonly whole: ListUpdate | undefined;
  /**
   * @param offset - log offset of the list of another instance
   * @returns the changes since then; `undefined` when they are not known here
   */
  since(offset: number | undefined): ListUpdate | undefined;
  /**
   * Applies the changes that another instance sent.
   *
   * @param update - the changes
   * @param from - name of that instance
   */
  applyUpdate(update: ListUpdate, from: string): void;
}
