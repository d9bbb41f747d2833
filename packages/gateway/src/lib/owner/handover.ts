import type { InstanceState } from '../peer/instance-state.js';

/**
 * Orders older than this are not published, in milliseconds. The pause that is required between the
 * orders of two owners is always shorter.
 */
const ORDER_RETENTION_MS = 8_000;

/** Generation in which the first member joined the group: no share had an owner before. */
const FIRST_GENERATION = 1;

interface KnownOwner {
  readonly instance: string;
  readonly generation: number;
}

/**
 * Determines from the published states of the other instances when the previous owner of a share has
 * stopped giving orders in it.
 */
export class Handover {
  readonly #self: string;
  readonly #startMs: number;
  /** The other instance that last reported to own a share, by share. */
  readonly #owners = new Map<number, KnownOwner>();
  /** When this instance last gave an order in a share, by share, in milliseconds. */
  readonly #orderedMs = new Map<number, number>();
  /** Until when each order that has no answer yet may arrive, by share, in milliseconds. */
  readonly #pendingUntilMs = new Map<number, Set<{ readonly untilMs: number }>>();
  /** Until when an earlier owner of a share may give orders, by share, in milliseconds. */
  readonly #earlierOwnerUntilMs = new Map<number, number>();

  /**
   * @param self - name of this instance
   * @param startMs - start of this process on the monotonic clock, in milliseconds
   */
  constructor(self: string, startMs: number) {
    this.#self = self;
    this.#startMs = startMs;
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns age of this process in milliseconds, at most that of the oldest published order
   */
  uptimeMs(nowMs: number): number {
    return Math.min(ORDER_RETENTION_MS, Math.round(nowMs - this.#startMs));
  }

  /**
   * Records that an order is about to be sent. It is published before its first byte is written, so that no other
   * instance can see the share released without seeing the order.
   *
   * @param share - the share of the engine that the order goes to
   * @param untilMs - when it is given up without an answer, by the monotonic clock, in milliseconds
   * @returns to be called with the time at which it was answered or given up, by the same clock
   */
  beginOrder(share: number, untilMs: number): (nowMs: number) => void {
    const order = { untilMs };
    const pending = this.#pendingUntilMs.get(share) ?? new Set();
    pending.add(order);
    this.#pendingUntilMs.set(share, pending);
    return (nowMs) => {
      pending.delete(order);
      this.#orderedMs.set(share, nowMs);
    };
  }

  /**
   * Records how long an earlier owner of a share that was assigned to this instance may give orders.
   *
   * @param share - the assigned share
   * @param token - the generation in which it was assigned
   * @param untilMs - monotonic time of the earlier owner's last possible order, in milliseconds
   */
  recordWait(share: number, token: number, untilMs: number): void {
    if (token <= FIRST_GENERATION) return;
    this.#earlierOwnerUntilMs.set(share, untilMs);
  }

  /**
   * @param nowMs - monotonic clock, in milliseconds
   * @returns time since an order of this instance, or of an earlier owner that it waited for, may last have arrived,
   *   by share, in milliseconds; negative when that moment is still to come
   */
  orderAgesMs(nowMs: number): Record<number, number> {
    const agesMs = new Map<number, number>();
    const pending = [...this.#pendingUntilMs].flatMap(([share, orders]) =>
      // The timeout may fire late; until then the order can still arrive.
      [...orders].map(({ untilMs }) => [share, Math.max(untilMs, nowMs)] as const),
    );
    [...this.#orderedMs, ...this.#earlierOwnerUntilMs, ...pending].forEach(([share, atMs]) => {
      const ageMs = Math.ceil(nowMs - atMs);
      if (ageMs >= ORDER_RETENTION_MS) return;
      agesMs.set(share, Math.min(ageMs, agesMs.get(share) ?? ageMs));
    });
    return Object.fromEntries(agesMs);
  }

  /**
   * Records the shares that an instance reports to own.
   *
   * @param state - the state of an instance, this one or another
   */
  receiveState({ instance, generation, shares, hasLapsed }: InstanceState): void {
    if (instance === this.#self || hasLapsed) return;
    shares.forEach((share) => {
      const known = this.#owners.get(share);
      if (!known || generation >= known.generation) {
        this.#owners.set(share, { instance, generation });
      }
    });
  }

  /**
   * @param share - a share that the store has assigned to this instance
   * @param token - the generation in which it was assigned
   * @param states - the latest states of the reachable instances
   * @param nowMs - monotonic clock, in milliseconds
   * @returns when the previous owner of the share last gave an order, in milliseconds; `undefined`
   *   while a reachable instance may still give orders in the share, or while the previous owner is
   *   unknown or unreachable
   */
  lastOrderMs(
    share: number,
    token: number,
    states: readonly InstanceState[],
    nowMs: number,
  ): number | undefined {
    // An instance whose lease has lapsed must renew it before it gives orders again, and the store's
    // answer to the renewal shows it the new owner.
    const mayAct = ({ generation, shares, hasLapsed }: InstanceState): boolean =>
      !hasLapsed && (generation < token || shares.includes(share));
    if (states.some(mayAct)) return undefined;
    // If this instance was suspended or not started yet when the share changed its owner, it may not
    // know the one right before itself.
    const previous = this.#owners.get(share);
    if (!previous || previous.generation < token - 1) return undefined;
    if (!states.some(({ instance }) => instance === previous.instance)) return undefined;
    const agesMs = states.flatMap(({ orderAgesMs }) => orderAgesMs[share] ?? []);
    // A process knows no order of the one before it, which may have given one until it was killed.
    const uptimesMs = states.map(({ uptimeMs }) => uptimeMs);
    return nowMs - Math.min(ORDER_RETENTION_MS, ...agesMs, ...uptimesMs);
  }
}
