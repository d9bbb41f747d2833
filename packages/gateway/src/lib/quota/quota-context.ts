import type { QuotaBound } from '@chervilseam/decisions';
import type { QuotaSpec } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { QuotaCalls } from './quota-calls.js';
import type { QuotaPeer } from './quota-peer.js';

/** Dependencies of the parts that keep quotas. */
export interface QuotaContext {
  readonly instance: string;
  readonly failureDomain: string;
  /** Wall-clock time at which this process started, in milliseconds. */
  readonly startedMs: number;
  readonly bound: QuotaBound;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  /** Wall clock in milliseconds; unlike `nowMs`, it advances while the process is suspended. */
  readonly wallMs: () => number;
  /** @returns a random number from 0 up to 1 */
  readonly randomUnit: () => number;
  /** Quotas by workspace, as configured. */
  readonly quotas: () => ReadonlyMap<string, QuotaSpec>;
  /** Instances that own shares and do not stop, this one included if it is one. */
  readonly owners: () => readonly QuotaPeer[];
  /** The instance that divides the quotas, as far as it is known. */
  readonly allocator: () => QuotaPeer | undefined;
  /** Whether the store has assigned this instance the share whose owner divides the quotas. */
  readonly isAllocator: () => boolean;
  /** Time after which the one before it can no longer take itself for the allocator, in milliseconds. */
  readonly handoverMs: number;
  /** Whether all owners of shares are known here, have started only now and hold no lease: no earlier one goes on. */
  readonly isFreshFleet: () => boolean;
  /**
   * Calls another instance.
   *
   * @throws when there is no answer in time
   */
  readonly call: <M extends keyof QuotaCalls>(
    peer: QuotaPeer,
    method: M,
    params: QuotaCalls[M]['params'],
  ) => Promise<QuotaCalls[M]['answer']>;
}
