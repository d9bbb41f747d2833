import type { FoldSnapshot } from '../journal/recovering-fold.js';
import type { KeyRecord } from './key-record.js';

/** An entry of the stream of one partition of keys. */
export type KeyEntry =
  | {
      readonly id: string;
      readonly type: 'intent';
      readonly key: string;
      /** Digest of the request, so that a key is not reused for another one. */
      readonly digest: string;
      /** The one attempt that may run if this intent wins. */
      readonly attempt: string;
      /** Incarnation of the instance that will dispatch. */
      readonly dispatcher: string;
    }
  | {
      readonly id: string;
      readonly type: 'outcome';
      readonly key: string;
      readonly attempt: string;
      readonly outcome: 'ran' | 'unknown';
      readonly status: number;
      readonly body: string | undefined;
    }
  | {
      readonly id: string;
      /** The attempt did not run and never will. */
      readonly type: 'release';
      readonly key: string;
      readonly attempt: string;
    }
  | {
      readonly id: string;
      readonly type: 'snapshot';
      readonly snapshot: FoldSnapshot<readonly KeyRecord[]>;
    };
