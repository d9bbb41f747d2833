import type { ListUpdate } from '../feed/list-update.js';

/** The list of endpoints as instances tell it each other. */
export interface SharedList {
  /** Log offset of the list that this instance has; `undefined` before the first read. */
  readonly offset: () => number | undefined;
  /** Time since the read began that the list comes from, in milliseconds. */
  readonly ageMs: () => number;
  /**
   * @param offset - offset of the list that another instance has
   * @returns what to tell it; `undefined` when that is not known here
   */
  readonly since: (offset: number | undefined) => ListUpdate | undefined;
  /** The whole list; `undefined` before the first read. */
  readonly whole: () => ListUpdate | undefined;
  /** Whether this instance cannot read the list from the store now. */
  readonly isReadFailing: () => boolean;
  /**
   * @param update - what another instance tells
   * @param from - name of that instance
   */
  readonly apply: (update: ListUpdate, from: string) => void;
}
