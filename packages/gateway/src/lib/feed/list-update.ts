import type { EndpointPage } from '../ports/endpoint-page.js';

/**
 * What one instance tells another of the list of endpoints: every endpoint whose entry has changed between two log
 * offsets, with what its entry is at the later one. It holds whatever its sender knew before.
 */
export interface ListUpdate extends EndpointPage {
  /** The earlier offset: only a receiver that has the list at this offset or later misses nothing. */
  readonly fromOffset?: number;
  /**
   * Whether an entry that changed and changed back in between may be missing: the sender has compared two states of
   * the list, since the log of the changes was no longer available.
   */
  readonly isNet?: boolean;
  /**
   * Time since the read that the sender knows this from began, with the way to the receiver, in milliseconds; unset from
   * an instance of an earlier version.
   */
  readonly ageMs?: number;
}
