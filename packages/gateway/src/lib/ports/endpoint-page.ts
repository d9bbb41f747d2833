import type { EndpointChange } from './endpoint-change.js';

/** What a read of the list of endpoints gave. */
export interface EndpointPage {
  /** Set when `changes` is the whole list and what it leaves out is gone. */
  readonly isWhole: boolean;
  readonly changes: readonly EndpointChange[];
  /** Where the next read begins. */
  readonly nextOffset: number;
}
