import type { EndpointChange } from './endpoint-change.js';

/** Result of a read of the list of endpoints. */
export interface EndpointPage {
  /** Whether `changes` is the whole list, so that endpoints missing from it have left. */
  readonly isWhole: boolean;
  readonly changes: readonly EndpointChange[];
  /** Log offset where the next read begins, ordered by the era of the store (see `eraNumber`). */
  readonly nextOffset: number;
}
