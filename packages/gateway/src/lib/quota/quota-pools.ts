import { QuotaPool, quotaTimes } from '@chervilseam/decisions';
import type { QuotaReport, UnitsAsk } from '@chervilseam/decisions';
import { CallOrder } from './call-order.js';
import { preferredPool } from './preferred-pool.js';
import type { QuotaCalls } from './quota-calls.js';
import type { QuotaContext } from './quota-context.js';
import type { WireAnswer } from './wire-answer.js';
import type { WireAsk } from './wire-ask.js';
import type { WireReport } from './wire-report.js';

/** Least time between two renewals of leases, in milliseconds. */
const RENEWAL_MS = 250;
/** Time after which a pool that no instance asks gives up its leases, in milliseconds. */
const UNUSED_MS = 3_000;
/** Wait that is reported for a workspace whose quota isn't known here yet, in milliseconds. */
const UNKNOWN_WAIT_MS = 300;

const decodeAsk = ([asked, held, waiting, needed, stock, largest]: WireAsk): UnitsAsk => ({
  asked,
  held,
  waiting,
  needed,
  stock,
  largest,
});

// Rounded so that the allocator never takes the pool to hold less than it does.
const encodeReport = (report: QuotaReport): WireReport => [
  Math.ceil(report.ratePerSecond),
  Math.ceil(report.room),
  Math.round(report.demandPerSecond),
  report.largest,
];

/** The pools of this instance, one a workspace, which give units to the instances of its failure domain. */
export class QuotaPools {
  readonly #context: QuotaContext;
  readonly #pools = new Map<string, QuotaPool>();
  readonly #order = new CallOrder();
  /** When an instance last asked for units, in milliseconds. */
  #askedMs = -Infinity;
  #renewalMs = -Infinity;
  #isRenewing = false;
  #wasUsed = false;
  #sequence = 0;
  /** When the last lease of this instance ends, in milliseconds. */
  #leasedUntilMs = -Infinity;
  /** What this instance held when it gave up its leases, until the allocator has heard of that. */
  #givenUp: Readonly<Record<string, WireReport>> | undefined;
  /** Raised when all leases are given up: answers to earlier calls no longer count. */
  #epoch = 0;

  /** @param context - dependencies */
  constructor(context: QuotaContext) {
    this.#context = context;
  }

  /** Whether this instance may hold a lease. */
  get hasLeases(): boolean {
    return this.#context.nowMs() < this.#leasedUntilMs;
  }

  /** Number of pools that this instance keeps. */
  get count(): number {
    return this.#pools.size;
  }

  /**
   * Answers an instance that asks for units.
   *
   * @param instance - its name
   * @param params - what it wants
   * @returns the units
   */
  give(instance: string, params: QuotaCalls['units']['params']): QuotaCalls['units']['answer'] {
    const nowMs = this.#context.nowMs();
    if (!this.#isOwner || !this.#order.isNewest(instance, params, nowMs)) return {};
    this.#askedMs = nowMs;
    const answers: Record<string, WireAnswer> = {};
    Object.entries(params.asks).forEach(([workspace, ask]) => {
      const pool = this.#poolOf(workspace);
      const answer = pool?.give(instance, decodeAsk(ask), nowMs);
      answers[workspace] = answer ? [answer.units, Math.ceil(answer.waitMs)] : [0, UNKNOWN_WAIT_MS];
    });
    return { answers };
  }

  /** Renews the leases when that is due. */
  tick(): void {
    const nowMs = this.#context.nowMs();
    if (this.#isRenewing || nowMs < this.#renewalMs) return;
    this.#renewalMs = nowMs + RENEWAL_MS;
    const isUsed = this.#isUsed(nowMs);
    this.#logUse(isUsed);
    if (isUsed) {
      void this.#renew(false);
      return;
    }
    if (this.#pools.size > 0) void this.#renew(true);
  }

  /** Gives up all leases, since they may have ended without notice. */
  reset(): void {
    this.#epoch += 1;
    this.#givenUp = undefined;
    this.#pools.forEach((pool) => pool.release());
  }

  get #isOwner(): boolean {
    const { owners, instance } = this.#context;
    return owners().some((owner) => owner.instance === instance);
  }

  #isUsed(nowMs: number): boolean {
    const { owners, instance, failureDomain } = this.#context;
    if (!this.#isOwner) return false;
    if (nowMs < this.#askedMs + UNUSED_MS) return true;
    return preferredPool(failureDomain, owners())?.instance === instance;
  }

  #logUse(isUsed: boolean): void {
    if (isUsed === this.#wasUsed) return;
    this.#wasUsed = isUsed;
    const text = isUsed
      ? 'this instance keeps the pools of quotas for its failure domain'
      : 'this instance gives up the pools of quotas';
    this.#context.logger.info('quota_pool', text, { isUsed, workspaces: this.#pools.size });
  }

  #poolOf(workspace: string): QuotaPool | undefined {
    const known = this.#pools.get(workspace);
    if (known || !this.#context.quotas().has(workspace)) return known;
    const pool = new QuotaPool();
    this.#pools.set(workspace, pool);
    return pool;
  }

  async #renew(isLeaving: boolean): Promise<void> {
    const { quotas, nowMs, allocator, call, startedMs, logger } = this.#context;
    const peer = allocator();
    const askedMs = nowMs();
    if (!peer) return;
    if (!isLeaving) quotas().forEach((_, workspace) => this.#poolOf(workspace));
    if (!isLeaving) this.#givenUp = undefined;
    const due = [...this.#pools].filter(([, pool]) => isLeaving || pool.needsRenewal(askedMs));
    if (due.length === 0) return;
    const reports = isLeaving
      ? this.#giveUp(askedMs)
      : Object.fromEntries(
          due.map(([workspace, pool]) => [workspace, encodeReport(pool.report(askedMs))]),
        );
    const epoch = this.#epoch;
    this.#sequence += 1;
    this.#isRenewing = true;
    try {
      const order = { startedMs, sequence: this.#sequence };
      const { leases } = await call(peer, 'lease', { ...order, reports, isLeaving });
      if (epoch !== this.#epoch || !leases) return;
      if (isLeaving) this.#forget();
      else this.#apply(leases, askedMs);
    } catch (error) {
      const fields = { allocator: peer.instance, error: (error as Error).message };
      logger.info('quota_allocator_silent', 'the allocator of quotas does not answer', fields);
    } finally {
      this.#isRenewing = false;
    }
  }

  // Releases the leases before the allocator hears of it. What they were is told until it has heard.
  #giveUp(nowMs: number): Readonly<Record<string, WireReport>> {
    this.#givenUp ??= Object.fromEntries(
      [...this.#pools].map(([workspace, pool]) => [workspace, encodeReport(pool.report(nowMs))]),
    );
    this.#pools.forEach((pool) => pool.release());
    this.#leasedUntilMs = -Infinity;
    return this.#givenUp;
  }

  #forget(): void {
    this.#givenUp = undefined;
    this.#pools.clear();
  }

  #apply(leases: Readonly<Record<string, readonly [number, number]>>, askedMs: number): void {
    const { quotas, nowMs } = this.#context;
    this.#leasedUntilMs = askedMs + quotaTimes.leaseMs;
    Object.entries(leases).forEach(([workspace, [ratePerSecond, room]]) => {
      const isLowered = this.#pools
        .get(workspace)
        ?.renew({ ratePerSecond, room }, askedMs, nowMs());
      // What was given up is free for others once the allocator knows.
      if (isLowered) this.#renewalMs = nowMs();
      if (!quotas().has(workspace) && ratePerSecond === 0) this.#pools.delete(workspace);
    });
  }
}
