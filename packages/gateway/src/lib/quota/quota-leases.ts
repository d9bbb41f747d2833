import { QuotaAllocator, quotaTotal, quotaTimes } from '@chervilseam/decisions';
import type { QuotaLease, QuotaReport } from '@chervilseam/decisions';
import { getOrCreate } from '../get-or-create.js';
import { CallOrder } from './call-order.js';
import type { QuotaCalls } from './quota-calls.js';
import type { QuotaContext } from './quota-context.js';
import type { WireLease } from './wire-lease.js';
import type { WireReport } from './wire-report.js';

const decodeReport = ([
  ratePerSecond,
  room,
  demandPerSecond,
  largest,
]: WireReport): QuotaReport => ({
  ratePerSecond,
  room,
  demandPerSecond,
  largest,
});

const NOTHING: QuotaLease = { ratePerSecond: 0, room: 0 };

/**
 * Divides the quotas of all workspaces among the pools while this instance owns the share that entitles it to. It
 * grants nothing until its predecessor can no longer do so.
 */
export class QuotaLeases {
  readonly #context: QuotaContext;
  #allocators = new Map<string, QuotaAllocator>();
  readonly #order = new CallOrder();
  /** When this instance got the share; `undefined` while it has not got it, in milliseconds. */
  #assignedMs: number | undefined;
  #isSettled = false;

  /** @param context - dependencies */
  constructor(context: QuotaContext) {
    this.#context = context;
  }

  /** Whether this instance divides the quotas now. */
  get isGranting(): boolean {
    const { nowMs, handoverMs } = this.#context;
    if (this.#assignedMs === undefined) return false;
    return this.#isSettled || nowMs() >= this.#assignedMs + handoverMs;
  }

  /**
   * Answers a pool that asks for its leases.
   *
   * @param instance - the pool's name
   * @param params - what it holds and needs
   * @returns the leases
   */
  grant(instance: string, params: QuotaCalls['lease']['params']): QuotaCalls['lease']['answer'] {
    const { nowMs, quotas, bound } = this.#context;
    this.tick();
    if (!this.isGranting || !this.#order.isNewest(instance, params, nowMs())) return {};
    const leases: Record<string, WireLease> = {};
    const { startedMs, isLeaving } = params;
    Object.entries(params.reports).forEach(([workspace, wireReport]) => {
      const report = decodeReport(wireReport);
      const allocator = this.#allocatorOf(workspace);
      const holder = { instance, startedMs };
      if (isLeaving) {
        allocator.leave(holder, report, nowMs());
        return;
      }
      const quota = quotas().get(workspace);
      const total = quota ? quotaTotal(quota, bound) : NOTHING;
      const lease = allocator.renew(holder, report, total, nowMs());
      if (!quota && allocator.held(nowMs()).ratePerSecond === 0) this.#allocators.delete(workspace);
      leases[workspace] = [Math.floor(lease.ratePerSecond), Math.floor(lease.room)];
    });
    return { leases };
  }

  /** Notes whether this instance is the allocator. */
  tick(): void {
    const { isAllocator, nowMs, isFreshFleet, logger, quotas } = this.#context;
    if (!isAllocator()) {
      if (this.#assignedMs !== undefined) this.reset();
      return;
    }
    if (this.#assignedMs === undefined) {
      this.#assignedMs = nowMs();
      if (quotas().size > 0) {
        logger.info('quota_allocator', 'this instance divides the quotas of workspaces', {});
      }
    }
    if (this.#isSettled) return;
    // In a fresh fleet there is no allocator before this one to wait for.
    const isFresh = quotas().size > 0 && isFreshFleet();
    if (!isFresh && nowMs() < this.#settledMs) return;
    this.#isSettled = true;
    this.#allocators.forEach((allocator) => allocator.settle(nowMs()));
    if (quotas().size === 0) return;
    logger.info('quota_settled', 'no lease of an earlier allocator goes on', {
      isFresh,
      leasedShare: this.#leasedShare,
    });
  }

  /** Stops to divide the quotas until this instance is made the allocator anew. */
  reset(): void {
    this.#assignedMs = undefined;
    this.#isSettled = false;
    this.#allocators = new Map();
  }

  // Share of the rates of all quotas that pools hold.
  get #leasedShare(): number {
    const { quotas, bound, nowMs } = this.#context;
    const sums = { leased: 0, total: 0 };
    quotas().forEach((quota, workspace) => {
      sums.leased += this.#allocators.get(workspace)?.held(nowMs()).ratePerSecond ?? 0;
      sums.total += quotaTotal(quota, bound).ratePerSecond;
    });
    return sums.leased / sums.total;
  }

  get #settledMs(): number {
    return (this.#assignedMs ?? Infinity) + this.#context.handoverMs + quotaTimes.grantMs;
  }

  #allocatorOf(workspace: string): QuotaAllocator {
    const settledMs = this.#isSettled ? -Infinity : this.#settledMs;
    return getOrCreate(this.#allocators, workspace, () => new QuotaAllocator(settledMs));
  }
}
