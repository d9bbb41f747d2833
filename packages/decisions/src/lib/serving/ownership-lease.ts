import { eraNumber } from '@chervilseam/model';

/** Times of an ownership lease, in milliseconds. */
interface LeaseTimes {
  /** Time without a renewal after which the store assigns a member's shares to other members. */
  readonly ttlMs: number;
  /** Least time between the last order of one owner and the first order of the next. */
  readonly handoverMs: number;
}

/**
 * Share of the time to live that an owner leaves unused, since clocks drift and answers are
 * delayed.
 */
const TTL_MARGIN_SHARE = 0.2;
/** Longest time that a lease is extended without the store, in milliseconds. */
const EXTENSION_MAX_MS = 20_000;

/** A share of the endpoints that this instance owns. */
interface OwnedShare {
  /**
   * Fencing token: generation of the group when this instance got the share, ordered by the era of the store.
   */
  readonly token: number;
  /** Monotonic time from which this instance may give orders, in milliseconds. */
  readonly usableFromMs: number;
}

/**
 * The shares whose endpoints this instance may give orders to (share: a partition of the
 * endpoints). An owner stops before the store can assign its share to another member, and a new
 * owner waits until the previous one must have stopped.
 */
export class OwnershipLease {
  readonly #times: LeaseTimes;
  #shares = new Map<number, OwnedShare>();
  #generation = 0;
  /** End of the lease by its latest renewal, on the monotonic clock in milliseconds. */
  #heldUntilMs = -Infinity;
  /** End of the lease when it is extended without the store, in milliseconds. */
  #extendedUntilMs = -Infinity;

  /** @param times - times of the lease */
  constructor(times: LeaseTimes) {
    this.#times = times;
  }

  /** Generation of the group in the latest answer of the store, ordered by the era of the store (see `eraNumber`). */
  get generation(): number {
    return this.#generation;
  }

  /** Shares that the store has assigned to this instance, whether or not it may use them yet. */
  get shares(): readonly number[] {
    return [...this.#shares.keys()];
  }

  /**
   * @returns whether the lease has lapsed: this instance must give no orders until it is renewed
   */
  hasLapsed(nowMs: number): boolean {
    return nowMs >= Math.max(this.#heldUntilMs, this.#extendedUntilMs);
  }

  /**
   * Extends the lease while no instance reaches the store: a share gets a new owner only by a
   * renewal that the store answers. A lapsed lease isn't extended; it has to be renewed.
   *
   * @param untilMs - monotonic time until which every other instance is known to be without the
   *   store, in milliseconds
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  extend(untilMs: number, nowMs: number): void {
    if (this.hasLapsed(nowMs)) return;
    this.#extendedUntilMs = Math.min(untilMs, this.#heldUntilMs + EXTENSION_MAX_MS);
  }

  /**
   * Applies the store's answer to a renewal.
   *
   * @param answer - generation of the group, and the shares that the store assigns to this instance
   * @param sentMs - monotonic time at which the renewal was sent, in milliseconds: the time to live
   *   starts there
   * @param nowMs - current time of a monotonic clock, in milliseconds
   */
  applyRenewal(
    answer: { readonly generation: number; readonly shares: readonly number[] },
    sentMs: number,
    nowMs: number,
  ): void {
    const { generation, shares } = answer;
    const { ttlMs, handoverMs } = this.#times;
    // If the lease had lapsed and the generation changed, another instance may have owned a share
    // in between, so the share gets a new token and a new waiting time. A store that came back from a copy may have
    // forgotten who owned the share.
    const isSameEra = eraNumber.eraOf(generation) === eraNumber.eraOf(this.#generation);
    const isHeld = isSameEra && nowMs < this.#heldUntilMs;
    const isContinuous = generation === this.#generation || isHeld;
    const next = new Map<number, OwnedShare>();
    shares.forEach((share) => {
      const known = isContinuous ? this.#shares.get(share) : undefined;
      const fresh = { token: generation, usableFromMs: nowMs + ttlMs + handoverMs };
      next.set(share, known ?? fresh);
    });
    this.#shares = next;
    this.#generation = generation;
    this.#heldUntilMs = sentMs + ttlMs * (1 - TTL_MARGIN_SHARE);
    this.#extendedUntilMs = -Infinity;
  }

  /**
   * Makes a share usable sooner, because its previous owner reported that it stopped.
   *
   * @param share - a share that this instance owns
   * @param token - fencing token that the release was checked against; a release for another one is
   *   ignored
   * @param lastActMs - monotonic time of the previous owner's last order, in milliseconds
   */
  markReleased(share: number, token: number, lastActMs: number): void {
    const known = this.#shares.get(share);
    if (known?.token !== token) return;
    const usableFromMs = Math.min(known.usableFromMs, lastActMs + this.#times.handoverMs);
    this.#shares.set(share, { token, usableFromMs });
  }

  /**
   * @param nowMs - current time of a monotonic clock, in milliseconds
   * @returns shares that this instance owns but must not use yet, with their fencing tokens and the
   *   monotonic times from which it may use them, in milliseconds
   */
  pendingShares(nowMs: number): ({ readonly share: number } & OwnedShare)[] {
    return [...this.#shares].flatMap(([share, owned]) =>
      nowMs < owned.usableFromMs ? [{ share, ...owned }] : [],
    );
  }

  /**
   * Makes all shares unusable until the next renewal: the process was suspended, or is stopping.
   */
  suspend(): void {
    this.#heldUntilMs = -Infinity;
    this.#extendedUntilMs = -Infinity;
  }

  /**
   * @param share - a share of the endpoints
   * @param nowMs - current time of a monotonic clock, in milliseconds
   * @returns the fencing token to send with orders, or `undefined` when this instance must give
   *   none
   */
  tokenOf(share: number, nowMs: number): number | undefined {
    const known = this.#shares.get(share);
    if (!known || this.hasLapsed(nowMs) || nowMs < known.usableFromMs) return undefined;
    return known.token;
  }
}
