import { DecayingRate } from './decaying-rate.js';
import type { QuotaLease } from './quota-lease.js';
import type { QuotaReport } from './quota-report.js';
import { quotaTimes } from './quota-times.js';
import { RecentMaximum } from './recent-maximum.js';
import type { UnitsAnswer } from './units-answer.js';
import type { UnitsAsk } from './units-ask.js';

const MS_PER_SECOND = 1_000;
/** Time constants of the estimates that follow rising and falling demand, in milliseconds. */
const RISE_TIME_CONSTANT_MS = 1_000;
const FALL_TIME_CONSTANT_MS = 5_000;
/** Time for which the size of a large request counts, in milliseconds. */
const LARGEST_PERIOD_MS = 10_000;
/** Age at which a lease is renewed although the demand has not changed, in milliseconds. */
const RENEWAL_MS = 2_000;
/** The same for a pool without any rate. */
const EMPTY_RENEWAL_MS = 500;
/** Change of the demand, as a share of the lease's rate, after which the pool renews its lease early. */
const CHANGE_SHARE = 0.2;
/** Share of the room below which units are given only to requests that wait. */
const LOW_SHARE = 0.25;
/** Share of the units beyond that one instance gets at most for its next requests. */
const STOCK_SHARE = 0.25;
/** Time between two looks for units that have expired, in milliseconds. */
const EXPIRY_INTERVAL_MS = 100;
/** Shortest wait that is reported while demand exceeds the rate of the lease, in milliseconds. */
const CONTENDED_WAIT_MS = 500;
/** Longest wait that is reported to an instance, in milliseconds. */
const WAIT_MAX_MS = 1_000;

interface GivenUnits {
  readonly count: number;
  readonly untilMs: number;
}

/**
 * The units of one workspace in a failure domain. They are added at the rate of the pool's lease and given to the
 * instances of the domain as these need them.
 */
export class QuotaPool {
  #lease: QuotaLease = { ratePerSecond: 0, room: 0 };
  #leaseUntilMs = -Infinity;
  #level = 0;
  #filledMs = -Infinity;
  /** Units that instances may still hold, by instance. */
  readonly #given = new Map<string, GivenUnits>();
  #givenCount = 0;
  #expiryMs = -Infinity;
  #reportedMs = -Infinity;
  #reportedDemand = 0;
  readonly #risingDemand = new DecayingRate(RISE_TIME_CONSTANT_MS);
  readonly #lastingDemand = new DecayingRate(FALL_TIME_CONSTANT_MS);
  readonly #largest = new RecentMaximum(LARGEST_PERIOD_MS);

  /**
   * Takes over a lease from the allocator.
   *
   * @param lease - the lease
   * @param askedMs - when it was asked for, by the monotonic clock, in milliseconds
   * @param nowMs - monotonic clock, in milliseconds
   * @returns whether the pool holds less than before, so that it should report soon
   */
  renew(lease: QuotaLease, askedMs: number, nowMs: number): boolean {
    this.#fill(nowMs);
    const isLowered =
      lease.ratePerSecond < this.#lease.ratePerSecond || lease.room < this.#lease.room;
    // Until its lease no longer changes, the pool reports often: it may hold what others are waiting for.
    const change = Math.abs(lease.ratePerSecond - this.#lease.ratePerSecond);
    if (isLowered || change > CHANGE_SHARE * lease.ratePerSecond) this.#reportedMs = -Infinity;
    this.#lease = lease;
    this.#leaseUntilMs = askedMs + quotaTimes.leaseMs;
    this.#clip();
    return isLowered;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns whether the lease is due for renewal: it gets old, or the demand has changed
   */
  needsRenewal(nowMs: number): boolean {
    const { ratePerSecond } = this.#lease;
    const renewalMs = ratePerSecond > 0 ? RENEWAL_MS : EMPTY_RENEWAL_MS;
    if (nowMs >= this.#reportedMs + renewalMs) return true;
    const demand = this.#demandPerSecond(nowMs);
    const change = Math.abs(demand - this.#reportedDemand);
    return demand > ratePerSecond || change > CHANGE_SHARE * ratePerSecond;
  }

  /** Gives up the lease and all units in the pool. */
  release(): void {
    this.#leaseUntilMs = -Infinity;
    this.#lease = { ratePerSecond: 0, room: 0 };
    this.#level = 0;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns what the pool holds and needs
   */
  report(nowMs: number): QuotaReport {
    this.#fill(nowMs);
    this.#forgetExpired(nowMs);
    this.#reportedMs = nowMs;
    this.#reportedDemand = this.#demandPerSecond(nowMs);
    return {
      ratePerSecond: this.#lease.ratePerSecond,
      room: Math.max(this.#lease.room, this.#level + this.#givenCount),
      demandPerSecond: this.#reportedDemand,
      largest: this.#largest.value(nowMs),
    };
  }

  /**
   * Gives an instance units.
   *
   * @param instance - its name
   * @param ask - what it wants
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the units, and when there are more if they are not enough
   */
  give(instance: string, ask: UnitsAsk, nowMs: number): UnitsAnswer {
    this.#fill(nowMs);
    this.#risingDemand.add(ask.asked, nowMs);
    this.#lastingDemand.add(ask.asked, nowMs);
    this.#largest.record(ask.largest, nowMs);
    const units = this.#unitsFor(ask);
    this.#level -= units;
    const had = ask.held + units;
    const unspent = had >= ask.waiting ? had - ask.waiting : had;
    this.#givenCount += unspent - (this.#given.get(instance)?.count ?? 0);
    const untilMs = nowMs + quotaTimes.unitsMs + quotaTimes.driftMs;
    this.#given.set(instance, { count: unspent, untilMs });
    this.#clip();
    return { units, waitMs: units < ask.needed ? this.#waitMs(ask.needed, nowMs) : 0 };
  }

  #demandPerSecond(nowMs: number): number {
    return Math.max(this.#risingDemand.perSecond(nowMs), this.#lastingDemand.perSecond(nowMs));
  }

  #unitsFor({ held, waiting, needed, stock }: UnitsAsk): number {
    const level = Math.floor(this.#level);
    if (level < needed) return 0;
    const missing = Math.min(level, Math.max(0, waiting - held));
    const spare = Math.floor(STOCK_SHARE * (level - missing - LOW_SHARE * this.#lease.room));
    return missing + Math.max(0, Math.min(stock - Math.max(0, held - waiting), spare));
  }

  #waitMs(needed: number, nowMs: number): number {
    const { ratePerSecond } = this.#lease;
    if (ratePerSecond === 0) return CONTENDED_WAIT_MS;
    const fillMs = ((needed - this.#level) * MS_PER_SECOND) / ratePerSecond;
    // Others take what is added meanwhile.
    const isContended = this.#lastingDemand.perSecond(nowMs) > ratePerSecond;
    return Math.min(WAIT_MAX_MS, Math.max(fillMs, isContended ? CONTENDED_WAIT_MS : 0));
  }

  #fill(nowMs: number): void {
    const untilMs = Math.min(nowMs, this.#leaseUntilMs);
    if (untilMs > this.#filledMs) {
      const added = ((untilMs - this.#filledMs) / MS_PER_SECOND) * this.#lease.ratePerSecond;
      // The first fill only starts the clock.
      if (this.#filledMs > -Infinity) this.#level += added;
    }
    this.#filledMs = nowMs;
    if (nowMs >= this.#leaseUntilMs) this.release();
    this.#clip();
  }

  // Expired units are forgotten only where that frees room, since it takes a look at all instances.
  #clip(): void {
    const { room } = this.#lease;
    if (this.#level + this.#givenCount > room) this.#forgetExpired(this.#filledMs);
    this.#level = Math.max(0, Math.min(this.#level, room - this.#givenCount));
  }

  #forgetExpired(nowMs: number): void {
    if (nowMs < this.#expiryMs + EXPIRY_INTERVAL_MS) return;
    this.#expiryMs = nowMs;
    this.#given.forEach(({ count, untilMs }, instance) => {
      if (nowMs < untilMs) return;
      this.#givenCount -= count;
      this.#given.delete(instance);
    });
  }
}
