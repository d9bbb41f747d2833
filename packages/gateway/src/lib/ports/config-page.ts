import type { ServingConfig } from '@chervilseam/model';

/** What a read of the configuration gave. */
export interface ConfigPage {
  readonly config?: ServingConfig;
  /** Where the next read begins. */
  readonly nextOffset: number;
}
