import type { FoldSnapshot } from '../journal/recovering-fold.js';
import type { KeyRecord } from './key-record.js';

/** An entry of the log stream for one partition of the idempotency keys. */
export type KeyEntry =
  | {
      readonly id: string;
      readonly type: 'intent';
      readonly key: string;
      /** Digest of the request, so that the key cannot be reused for a different one. */
      readonly digest: string;
      /** The only attempt that may run if this intent is the first for its key in the log. */
      readonly attempt: string;
      /** Id of the run of the instance that will dispatch the attempt. */
      readonly dispatcher: string;
    }
  | {
      readonly id: string;
      readonly type: 'outcome';
      readonly key: string;
      readonly attempt: string;
      readonly outcome: 'ran' | 'unknown';
      /** HTTP status of the answer; 0 when the outcome is `unknown`. */
      readonly status: number;
      /** Body of the answer, for replay. */
      readonly body: string | undefined;
    }
  | {
      readonly id: string;
      /** Frees the key: the attempt did not run and never will. */
      readonly type: 'release';
      readonly key: string;
      readonly attempt: string;
    }
  | {
      readonly id: string;
      readonly type: 'snapshot';
      readonly snapshot: FoldSnapshot<readonly KeyRecord[]>;
    };
