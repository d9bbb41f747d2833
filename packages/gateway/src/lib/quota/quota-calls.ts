import type { SequencedMessage } from '../peer/sequenced-message.js';
import type { WireAnswer } from './wire-answer.js';
import type { WireAsk } from './wire-ask.js';
import type { WireLease } from './wire-lease.js';
import type { WireReport } from './wire-report.js';

/** Calls between instances for quotas, by method: parameters and answers. Maps are by workspace. */
export interface QuotaCalls {
  /** An instance asks a pool for units. */
  readonly units: {
    readonly params: SequencedMessage & { readonly asks: Readonly<Record<string, WireAsk>> };
    /** Without `answers`, the instance is no pool. */
    readonly answer: { readonly answers?: Readonly<Record<string, WireAnswer>> };
  };
  /** A pool asks the allocator for its leases. */
  readonly lease: {
    readonly params: SequencedMessage & {
      readonly reports: Readonly<Record<string, WireReport>>;
      /** Whether the pool gives up what it holds. */
      readonly isLeaving: boolean;
    };
    /** Without `leases`, the instance is not the allocator. */
    readonly answer: { readonly leases?: Readonly<Record<string, WireLease>> };
  };
}
