import { OwnershipLease, SuspensionWatch } from '@chervilseam/decisions';
import { eraNumber } from '@chervilseam/model';
import type { PartLogger } from '@chervilseam/observe';
import type { StateStore } from '../ports/state-store.js';

/** Time between two lease renewals of a member that owns shares, in milliseconds. */
const RENEWAL_INTERVAL_MS = 700;
/**
 * Time between two renewals of a member without shares, in milliseconds. It can be longer because
 * such a member has no share to lose when a renewal is late.
 */
const IDLE_RENEWAL_INTERVAL_MS = 1_400;
/**
 * Time between two renewals of an instance that has just started and hears of a newer generation, in milliseconds:
 * a fleet that starts as a whole knows its owners sooner.
 */
const EARLY_RENEWAL_INTERVAL_MS = 150;
/** Time to live of a membership as a multiple of the renewal interval. */
const TTL_INTERVALS = 3;
/**
 * Time from a change of the group to the read of its members, in milliseconds. Members that join
 * at about the same time are then read together.
 */
const JOIN_SETTLE_MS = 900;
/**
 * Time after the start by which an instance has received states from all others, in milliseconds:
 * many rounds of the state exchange.
 */
const DISCOVERY_MS = 5_000;
/** How long one extension keeps the lease valid after the check that permits it, in milliseconds. */
const EXTENSION_MS = 300;

/** Dependencies of a group member. */
interface GroupMemberContext {
  readonly store: StateStore;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  /** Wall clock in milliseconds; unlike `nowMs`, it advances while the process is suspended. */
  readonly wallMs: () => number;
  readonly instance: string;
  readonly host: string;
  readonly port: number;
  readonly ttlMinMs: number;
  readonly handoverMs: number;
  /** Whether the owner of every share is known and reachable. */
  readonly knowsOwners: () => boolean;
  /** Receives the addresses of the instances that own shares. */
  readonly onMembers: (addresses: readonly { host: string; port: number }[]) => void;
  /** Called after each failed renewal. */
  readonly onFailure: (error: unknown) => void;
}

/** Matches a member's name: instance, host and port. */
const MEMBER_PATTERN = /^(.+)@([\d.]+):(\d+)$/;

/**
 * Keeps this instance in the group whose members own the shares, and holds its lease on the shares
 * that the store assigns to it. A share is a partition of the endpoints: its owner gives the orders
 * to the engines in it.
 */
export class GroupMember {
  readonly #context: GroupMemberContext;
  readonly #lease: OwnershipLease;
  readonly #member: string;
  readonly #ttlMs: number;
  #nextRenewalMs = 0;
  /** When the latest renewal was sent, in milliseconds. */
  #renewedMs = -Infinity;
  #isRenewing = false;
  #isStopped = false;
  #failureCount = 0;
  readonly #suspension: SuspensionWatch;
  #membersDueMs = Infinity;
  #hasReadMembers = false;
  /** Whether the current outage's first extension of the lease has been logged. */
  #isExtended = false;
  readonly #startedMs: number;
  #wasLapsed = true;

  /** @param context - dependencies of the member */
  constructor(context: GroupMemberContext) {
    this.#context = context;
    const { instance, host, port, ttlMinMs, handoverMs, wallMs, nowMs } = context;
    this.#member = `${instance}@${host}:${port}`;
    this.#ttlMs = Math.max(ttlMinMs, RENEWAL_INTERVAL_MS * TTL_INTERVALS);
    this.#lease = new OwnershipLease({ ttlMs: this.#ttlMs, handoverMs });
    this.#suspension = new SuspensionWatch(nowMs(), wallMs());
    this.#startedMs = nowMs();
  }

  /** Generation of the group in the store's latest answer to a renewal. */
  get generation(): number {
    return this.#lease.generation;
  }

  /** Whether this instance must not give orders until it has renewed its lease. */
  get hasLapsed(): boolean {
    return this.#isStopped || this.#lease.hasLapsed(this.#context.nowMs());
  }

  /** Time after which the owner of a share that was assigned to another must have stopped, in milliseconds. */
  get leaseTtlMs(): number {
    return this.#ttlMs;
  }

  /** Shares that the store has assigned to this instance, including those it may not use yet. */
  get shares(): readonly number[] {
    return this.#lease.shares;
  }

  /**
   * @param share - a share of the endpoints
   * @returns the fencing token for orders in the share, or `undefined` when this instance must not
   *   give any now
   */
  tokenOf(share: number): number | undefined {
    this.#checkClocks();
    return this.#isStopped ? undefined : this.#lease.tokenOf(share, this.#context.nowMs());
  }

  /** Assigned shares that may not be used yet because their previous owner may still act. */
  get pendingShares(): ReturnType<OwnershipLease['pendingShares']> {
    return this.#lease.pendingShares(this.#context.nowMs());
  }

  /**
   * Records that the previous owner of a share has stopped.
   *
   * @param share - a share that this instance owns
   * @param token - the fencing token that the release was checked against
   * @param lastOrderMs - when the previous owner last gave an order, in milliseconds
   */
  markReleased(share: number, token: number, lastOrderMs: number): void {
    this.#lease.markReleased(share, token, lastOrderMs);
  }

  /** Renews the lease and reads the members when either is due. */
  tick(): void {
    this.#logLease();
    const { nowMs } = this.#context;
    this.#checkClocks();
    if (this.#isStopped) return;
    if (!this.#isRenewing && nowMs() >= this.#nextRenewalMs) void this.#renew();
    if (nowMs() < this.#membersDueMs) return;
    this.#membersDueMs = Infinity;
    // Owners report their shares to each other; the store is asked only for those that no one reports.
    if (this.#hasReadMembers && this.#context.knowsOwners()) return;
    void this.#readMembers();
  }

  /**
   * Renews the lease soon if another instance knows a newer generation of the group. Only an instance that has just
   * started does so: later generations are learned with the next renewal.
   *
   * @param generation - generation that another instance knows
   */
  noteGeneration(generation: number): void {
    const isStarting = this.#context.nowMs() < this.#startedMs + DISCOVERY_MS;
    if (!isStarting || generation <= this.generation) return;
    const dueMs = this.#renewedMs + EARLY_RENEWAL_INTERVAL_MS;
    this.#nextRenewalMs = Math.min(this.#nextRenewalMs, dueMs);
  }

  get #renewalIntervalMs(): number {
    return this.shares.length > 0 || !this.#hasReadMembers
      ? RENEWAL_INTERVAL_MS
      : IDLE_RENEWAL_INTERVAL_MS;
  }

  /**
   * Extends the lease while the store is unreachable. The caller has checked that every other
   * instance is reachable and that none knows a newer generation, so no share has changed its owner
   * since this instance last reached the store.
   */
  extendLease(): void {
    const { nowMs, logger } = this.#context;
    if (this.#failureCount === 0 || this.#isStopped) return;
    // Shortly after its start an instance may not know all others, so the caller's check is not enough.
    if (nowMs() < this.#startedMs + DISCOVERY_MS) return;
    this.#lease.extend(nowMs() + EXTENSION_MS, nowMs());
    if (this.#isExtended || this.hasLapsed) return;
    this.#isExtended = true;
    logger.info('lease_kept_up', 'no instance can reach the store; extending the lease', {
      generation: eraNumber.shown(this.generation),
      shares: this.shares,
    });
  }

  // Logs each change between a valid and a lapsed lease once.
  #logLease(): void {
    if (this.hasLapsed === this.#wasLapsed) return;
    this.#wasLapsed = this.hasLapsed;
    const event = this.#wasLapsed ? 'lease_lapsed' : 'lease_held';
    const text = this.#wasLapsed
      ? 'the lease has lapsed; no orders until it is renewed'
      : 'the lease is valid; orders may be given';
    this.#context.logger.info(event, text, {
      generation: eraNumber.shown(this.generation),
      shares: this.shares,
      failures: this.#failureCount,
    });
  }

  /** Makes the next tick read the members that own shares. */
  scheduleMembersRead(): void {
    this.#membersDueMs = Math.min(this.#membersDueMs, this.#context.nowMs());
  }

  /** Leaves the group, so that the store assigns its shares to other members at once. */
  async leave(): Promise<void> {
    this.#isStopped = true;
    this.#lease.suspend();
    try {
      await this.#context.store.leave(this.#member);
    } catch (error) {
      const fields = { error: (error as Error).message };
      this.#context.logger.info('leave_unsaid', 'could not leave the group in the store', fields);
    }
  }

  // The monotonic clock stops while the process is suspended and the wall clock does not. When their
  // offset has changed, the lease may have lapsed without this instance noticing, so it is suspended
  // until the next renewal. Setting the wall clock looks the same and costs one renewal.
  #checkClocks(): void {
    const { wallMs, nowMs, logger } = this.#context;
    const driftMs = this.#suspension.check(nowMs(), wallMs());
    if (driftMs === undefined) return;
    this.#lease.suspend();
    this.#nextRenewalMs = 0;
    logger.warn('clocks_apart', 'the process was suspended or the wall clock was set', {
      driftMs: Math.round(driftMs),
    });
  }

  async #renew(): Promise<void> {
    const { store, nowMs, logger, onFailure } = this.#context;
    this.#isRenewing = true;
    const sentMs = nowMs();
    this.#renewedMs = sentMs;
    const { offsetMs } = this.#suspension;
    const { generation } = this.#lease;
    const intervalMs = this.#renewalIntervalMs;
    try {
      const answer = await store.join(
        this.#member,
        this.#ttlMs * (intervalMs / RENEWAL_INTERVAL_MS),
        generation,
      );
      this.#checkClocks();
      // If the process was suspended after it sent the renewal, the answer may be out of date.
      if (this.#suspension.isUnchangedSince(offsetMs)) {
        this.#lease.applyRenewal(answer, sentMs, nowMs());
      }
      this.#nextRenewalMs = sentMs + this.#renewalIntervalMs;
      if (this.#failureCount > 0) {
        logger.info('group_regained', 'the group membership can be renewed again', {
          failures: this.#failureCount,
        });
      }
      this.#failureCount = 0;
      this.#isExtended = false;
      const hasChanged = answer.generation !== generation;
      // Instances without shares learn of the members from their aggregator instead.
      const isAffected = hasChanged && this.shares.length > 0;
      if (isAffected || !this.#hasReadMembers) {
        this.#membersDueMs = Math.min(this.#membersDueMs, nowMs() + JOIN_SETTLE_MS);
      }
      if (hasChanged) {
        logger.info('shares_changed', 'the generation of the group has changed', {
          shares: answer.shares,
          generation: eraNumber.shown(answer.generation),
          previous: eraNumber.shown(generation),
        });
      }
    } catch (error) {
      this.#failureCount += 1;
      this.#nextRenewalMs = nowMs() + RENEWAL_INTERVAL_MS / 2;
      onFailure(error);
      if (this.#failureCount > 1) return;
      logger.warn('group_lost', 'could not renew the group membership in the store', {
        error: (error as Error).message,
      });
    } finally {
      this.#isRenewing = false;
    }
  }

  async #readMembers(): Promise<void> {
    const { store, onMembers, logger } = this.#context;
    try {
      const members = await store.members();
      this.#hasReadMembers = true;
      const addresses = members.flatMap((member) => {
        const found = MEMBER_PATTERN.exec(member);
        return found ? [{ host: found[2], port: Number(found[3]) }] : [];
      });
      onMembers(addresses);
    } catch (error) {
      logger.info('members_unread', 'could not read the members of the group', {
        error: (error as Error).message,
      });
    }
  }
}
