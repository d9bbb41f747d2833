import type { ConfigChange } from '@chervilseam/model';
import type { ConfigSnapshot } from './config-snapshot.js';

/** A record of the configuration stream of the log. */
export type ConfigRecord =
  | {
      readonly type: 'config';
      /** Unique id of the record, chosen by its author. */
      readonly id: string;
      readonly author: string;
      /** Changes that take effect together or not at all. */
      readonly changes: readonly ConfigChange[];
    }
  | { readonly type: 'snapshot'; readonly snapshot: ConfigSnapshot };
