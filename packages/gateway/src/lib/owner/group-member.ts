import { OwnershipLease } from '@chervilseam/decisions';
import type { PartLogger } from '@chervilseam/observe';
import type { StateStore } from '../ports/state-store.js';

/** Time between two renewals of a member that owns shares, in milliseconds. */
const RENEW_MS = 700;
/** Time between two renewals of a member without shares, in milliseconds: it has nothing to lose. */
const IDLE_RENEW_MS = 1_400;
/** Time to live of a member as a multiple of the time between renewals. */
const TTL_RENEWALS = 3;
/** Time after a change of the group in which others may still join, in milliseconds. */
const SETTLE_MS = 900;
/** Time after which an instance has heard of all others, in milliseconds: many rounds of states. */
const ACQUAINTED_MS = 5_000;
/** A lease is kept up this long beyond the last look at the others, in milliseconds. */
const EXTEND_MS = 300;
/** Clocks that run apart by this much show that the process stood still, in milliseconds. */
const STANDSTILL_MS = 120;

/** What the member needs around it. */
interface GroupMemberContext {
  readonly store: StateStore;
  readonly logger: PartLogger;
  readonly nowMs: () => number;
  /** Time of day, in milliseconds; it goes on while the process stands still. */
  readonly wallMs: () => number;
  readonly instance: string;
  readonly host: string;
  readonly port: number;
  readonly ttlMinMs: number;
  readonly handoverMs: number;
  readonly onMembers: (addresses: readonly { host: string; port: number }[]) => void;
  readonly onFailure: () => void;
}

const MEMBER = /^(.+)@([\d.]+):(\d+)$/;

/** Keeps this instance in the group whose members own shares of the endpoints. */
export class GroupMember {
  readonly #context: GroupMemberContext;
  readonly #lease: OwnershipLease;
  readonly #member: string;
  readonly #ttlMs: number;
  #nextMs = 0;
  #isRenewing = false;
  #isStopped = false;
  #failureCount = 0;
  #clockGapMs: number;
  #listDueMs = Infinity;
  #hasListed = false;
  #isKeptUp = false;
  readonly #startedMs: number;
  #wasLapsed = true;

  /** @param context - what the member needs around it */
  constructor(context: GroupMemberContext) {
    this.#context = context;
    const { instance, host, port, ttlMinMs, handoverMs, wallMs, nowMs } = context;
    this.#member = `${instance}@${host}:${port}`;
    this.#ttlMs = Math.max(ttlMinMs, RENEW_MS * TTL_RENEWALS);
    this.#lease = new OwnershipLease({ ttlMs: this.#ttlMs, handoverMs });
    this.#clockGapMs = wallMs() - nowMs();
    this.#startedMs = nowMs();
  }

  /** Generation of the group that was last heard of. */
  get generation(): number {
    return this.#lease.generation;
  }

  /** Whether this instance may give no orders until it has renewed its lease. */
  get hasLapsed(): boolean {
    return this.#isStopped || this.#lease.hasLapsed(this.#context.nowMs());
  }

  /** Shares that this instance owns, usable or not yet. */
  get shares(): readonly number[] {
    return this.#lease.shares;
  }

  /**
   * @param share - a share of the endpoints
   * @returns the fencing token to act with, or `undefined` when this instance must not act now
   */
  tokenOf(share: number): number | undefined {
    this.#checkClocks();
    return this.#isStopped ? undefined : this.#lease.tokenOf(share, this.#context.nowMs());
  }

  /** Shares that wait for their owner before to stop, with their tokens. */
  get waiting(): readonly { readonly share: number; readonly token: number }[] {
    return this.#lease.waiting(this.#context.nowMs());
  }

  /**
   * Notes that the owner before has stopped.
   *
   * @param share - a share that this instance owns
   * @param token - the fencing token that the release was checked against
   * @param lastActMs - when the owner before last acted, in milliseconds
   */
  released(share: number, token: number, lastActMs: number): void {
    this.#lease.released(share, token, lastActMs);
  }

  /** Renews when it is time. */
  tick(): void {
    this.#logLease();
    const { nowMs } = this.#context;
    this.#checkClocks();
    if (this.#isStopped) return;
    if (!this.#isRenewing && nowMs() >= this.#nextMs) void this.#renew();
    if (nowMs() < this.#listDueMs) return;
    this.#listDueMs = Infinity;
    void this.#list();
  }

  get #renewMs(): number {
    return this.shares.length > 0 || !this.#hasListed ? RENEW_MS : IDLE_RENEW_MS;
  }

  /** Keeps the lease up: no instance has reached the store since this one did. */
  keepUp(): void {
    const { nowMs, logger } = this.#context;
    if (this.#failureCount === 0 || this.#isStopped) return;
    // One that has just started may not know all others yet.
    if (nowMs() < this.#startedMs + ACQUAINTED_MS) return;
    this.#lease.extend(nowMs() + EXTEND_MS, nowMs());
    if (this.#isKeptUp || this.hasLapsed) return;
    this.#isKeptUp = true;
    logger.info('lease_kept_up', 'no instance reaches the store, so the lease goes on', {
      generation: this.generation,
      shares: this.shares,
    });
  }

  // Tells once when orders have to stop, and once when they may go on.
  #logLease(): void {
    if (this.hasLapsed === this.#wasLapsed) return;
    this.#wasLapsed = this.hasLapsed;
    const event = this.#wasLapsed ? 'lease_lapsed' : 'lease_held';
    const text = this.#wasLapsed ? 'no orders until a renewal' : 'the lease is held';
    this.#context.logger.info(event, text, {
      generation: this.generation,
      shares: this.shares,
      failures: this.#failureCount,
    });
  }

  /** Reads the members that own shares once more. */
  lookAround(): void {
    this.#listDueMs = Math.min(this.#listDueMs, this.#context.nowMs());
  }

  /** Leaves the group, so that others own its shares at once. */
  async leave(): Promise<void> {
    this.#isStopped = true;
    this.#lease.suspend();
    try {
      await this.#context.store.leave(this.#member);
    } catch (error) {
      const fields = { error: (error as Error).message };
      this.#context.logger.info('leave_unsaid', 'the store did not hear of the leaving', fields);
    }
  }

  // The steady clock stops while a process stands still and the time of day goes on: if the two
  // have come apart, the lease may have lapsed unseen. A time of day that was set looks the same
  // and costs one renewal.
  #checkClocks(): void {
    const { wallMs, nowMs, logger } = this.#context;
    const gapMs = wallMs() - nowMs();
    const driftMs = gapMs - this.#clockGapMs;
    this.#clockGapMs = gapMs;
    if (Math.abs(driftMs) < STANDSTILL_MS) return;
    this.#lease.suspend();
    this.#nextMs = 0;
    logger.warn('clocks_apart', 'the process stood still or the time of day was set', {
      driftMs: Math.round(driftMs),
    });
  }

  async #renew(): Promise<void> {
    const { store, nowMs, logger, onFailure } = this.#context;
    this.#isRenewing = true;
    const sentMs = nowMs();
    const gapMs = this.#clockGapMs;
    const { generation } = this.#lease;
    const renewMs = this.#renewMs;
    try {
      const answer = await store.join(this.#member, this.#ttlMs * (renewMs / RENEW_MS), generation);
      this.#checkClocks();
      // An answer to a renewal from before a standstill says nothing of what happened since.
      if (Math.abs(this.#clockGapMs - gapMs) < STANDSTILL_MS) {
        this.#lease.renewed(answer, sentMs, nowMs());
      }
      this.#nextMs = sentMs + this.#renewMs;
      if (this.#failureCount > 0) {
        logger.info('group_regained', 'the group can be joined again', {
          failures: this.#failureCount,
        });
      }
      this.#failureCount = 0;
      this.#isKeptUp = false;
      const hasChanged = answer.generation !== generation;
      // Instances without shares hear of changes from the one that they tell their state.
      const isConcerned = hasChanged && this.shares.length > 0;
      if (isConcerned || !this.#hasListed) {
        this.#listDueMs = Math.min(this.#listDueMs, nowMs() + SETTLE_MS);
      }
      if (hasChanged) {
        logger.info('shares_changed', 'the group has changed', { ...answer, previous: generation });
      }
    } catch (error) {
      this.#failureCount += 1;
      this.#nextMs = nowMs() + RENEW_MS / 2;
      onFailure();
      if (this.#failureCount > 1) return;
      logger.warn('group_lost', 'the group cannot be joined', { error: (error as Error).message });
    } finally {
      this.#isRenewing = false;
    }
  }

  async #list(): Promise<void> {
    const { store, onMembers, logger } = this.#context;
    try {
      const members = await store.members();
      this.#hasListed = true;
      const addresses = members.flatMap((member) => {
        const found = MEMBER.exec(member);
        return found ? [{ host: found[2], port: Number(found[3]) }] : [];
      });
      onMembers(addresses);
    } catch (error) {
      logger.info('members_unread', 'the members could not be read', {
        error: (error as Error).message,
      });
    }
  }
}
