import type { ServingConfig } from '@chervilseam/model';

/** Result of a read of the configuration. */
export interface ConfigPage {
  /** The newest configuration; absent if the read found no new one or could not decode it. */
  readonly config?: ServingConfig;
  /** Log offset where the next read begins, ordered by the era of the store (see `eraNumber`). */
  readonly nextOffset: number;
}
