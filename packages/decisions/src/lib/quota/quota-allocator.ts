import { divideQuota } from './divide-quota.js';
import type { QuotaLease } from './quota-lease.js';
import type { QuotaReport } from './quota-report.js';
import { quotaTimes } from './quota-times.js';

/** What one pool may hold. */
interface Holding {
  readonly startedMs: number;
  rate: number;
  room: number;
  demandPerSecond: number;
  largest: number;
  askedMs: number;
  rateUntilMs: number;
  roomUntilMs: number;
}

/** Units that instances may still have from a pool whose process has ended. */
interface Remainder {
  readonly room: number;
  readonly untilMs: number;
}

/** Who asks for a lease. */
interface Holder {
  readonly instance: string;
  /** Wall-clock time at which its process started, in milliseconds. */
  readonly startedMs: number;
}

/** Change of a lease below which it is left as it is, as a share of it. */
const KEPT_SHARE = 0.05;

const { leaseMs, unitsMs, driftMs, grantMs, silentMs } = quotaTimes;

// The part that a pool gets next: its target, from what it holds and what is free. Small differences are left, since
// each change takes two calls, unless more is held than there is.
const nextPart = (target: number, held: number, available: number, heldByAll: number): number => {
  const isNear = Math.abs(target - held) <= KEPT_SHARE * held;
  if (isNear && heldByAll <= available) return held;
  return Math.min(target, held + Math.max(0, available - heldByAll));
};

/**
 * Divides the quota of one workspace among the pools of the failure domains. All that pools may hold at a time, with
 * what this allocator cannot know to be given up, is within the quota: a pool is given more only from what is free or
 * has been given up.
 *
 * A new allocator does not know what its predecessor granted. Until all of that has ended, it divides only what the
 * pools report that they hold.
 */
export class QuotaAllocator {
  readonly #holdings = new Map<string, Holding>();
  #remainders: Remainder[] = [];
  #settledMs: number;
  /** What pools have reported from their predecessors' grants. */
  readonly #known = { rate: 0, room: 0 };

  /** @param settledMs - when all earlier grants have ended, by the monotonic clock, in milliseconds */
  constructor(settledMs: number) {
    this.#settledMs = settledMs;
  }

  /** @param nowMs - time at which it is known that no earlier grant goes on, in milliseconds */
  settle(nowMs: number): void {
    this.#settledMs = Math.min(this.#settledMs, nowMs);
  }

  /** @returns what is held altogether, as far as it is known here */
  held(nowMs: number): QuotaLease {
    this.#expire(nowMs);
    return { ratePerSecond: this.#sum('rate'), room: this.#heldRoom };
  }

  /**
   * Answers a pool that asks for its lease.
   *
   * @param holder - the pool's instance
   * @param report - what it holds and needs
   * @param total - rate and room of the quota
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the lease, which replaces the one that the pool holds
   */
  renew(holder: Holder, report: QuotaReport, total: QuotaLease, nowMs: number): QuotaLease {
    this.#expire(nowMs);
    const holding = this.#record(holder, report, nowMs);
    const available = this.#available(total, nowMs);
    const target = this.#targetOf(holder.instance, available, nowMs);
    const lease = {
      ratePerSecond: nextPart(
        target.ratePerSecond,
        report.ratePerSecond,
        available.ratePerSecond,
        this.#sum('rate'),
      ),
      room: nextPart(target.room, report.room, available.room, this.#heldRoom),
    };
    // If the answer is lost, the pool goes on with what it reported.
    holding.rate = Math.max(report.ratePerSecond, lease.ratePerSecond);
    holding.room = Math.max(report.room, lease.room);
    return lease;
  }

  /**
   * Takes back the lease of a pool that has given it up.
   *
   * @param holder - the pool's instance
   * @param report - what it held; its instances may still have units of that
   * @param nowMs - monotonic clock, in milliseconds
   */
  leave(holder: Holder, report: QuotaReport, nowMs: number): void {
    this.#expire(nowMs);
    const holding = this.#record(holder, report, nowMs);
    this.#remainders.push({ room: holding.room, untilMs: nowMs + unitsMs + driftMs });
    // The entry stays, so that a repeat of the call adds nothing to what is known.
    Object.assign(holding, { rate: 0, room: 0, askedMs: -Infinity });
  }

  get #heldRoom(): number {
    return this.#remainders.reduce((sum, { room }) => sum + room, this.#sum('room'));
  }

  #sum(part: 'rate' | 'room'): number {
    return [...this.#holdings.values()].reduce((sum, holding) => sum + holding[part], 0);
  }

  #available(total: QuotaLease, nowMs: number): QuotaLease {
    if (nowMs >= this.#settledMs) return total;
    return {
      ratePerSecond: Math.min(total.ratePerSecond, this.#known.rate),
      room: Math.min(total.room, this.#known.room),
    };
  }

  #record({ instance, startedMs }: Holder, report: QuotaReport, nowMs: number): Holding {
    const { ratePerSecond: rate, room, demandPerSecond, largest } = report;
    const previous = this.#holdings.get(instance);
    if (!previous) {
      this.#known.rate += rate;
      this.#known.room += room;
    } else if (previous.startedMs !== startedMs) {
      // The process that held the lease has ended; instances may have units of it.
      this.#remainders.push({ room: previous.room, untilMs: nowMs + unitsMs + driftMs });
    }
    const holding = {
      startedMs,
      rate,
      room,
      demandPerSecond,
      largest,
      askedMs: nowMs,
      rateUntilMs: nowMs + leaseMs + driftMs,
      roomUntilMs: nowMs + grantMs,
    };
    this.#holdings.set(instance, holding);
    return holding;
  }

  // The pools that do not ask keep what they may hold.
  #targetOf(instance: string, available: QuotaLease, nowMs: number): QuotaLease {
    const all = [...this.#holdings];
    const live = all.filter(([, { askedMs }]) => nowMs <= askedMs + silentMs);
    const liveRate = live.reduce((sum, [, { rate }]) => sum + rate, 0);
    const liveRoom = live.reduce((sum, [, { room }]) => sum + room, 0);
    const parts = divideQuota(
      {
        ratePerSecond: Math.max(0, available.ratePerSecond - this.#sum('rate') + liveRate),
        room: Math.max(0, available.room - this.#heldRoom + liveRoom),
      },
      live.map(([, holding]) => holding),
    );
    return parts[live.findIndex(([name]) => name === instance)];
  }

  #expire(nowMs: number): void {
    this.#remainders = this.#remainders.filter(({ untilMs }) => nowMs < untilMs);
    this.#holdings.forEach((holding, instance) => {
      const entry = holding;
      if (nowMs >= entry.rateUntilMs) entry.rate = 0;
      if (nowMs >= entry.roomUntilMs) this.#holdings.delete(instance);
    });
  }
}
