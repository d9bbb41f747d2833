import type { ConfigChange } from '@chervilseam/model';
import type { ConfigSnapshot } from './config-snapshot.js';

/** A record of the configuration stream. */
export type ConfigRecord =
  | {
      readonly type: 'config';
      /** Unique id of the record, made by its author. */
      readonly id: string;
      readonly author: string;
      /** All changes take effect together, or none does. */
      readonly changes: readonly ConfigChange[];
    }
  | { readonly type: 'snapshot'; readonly snapshot: ConfigSnapshot };
