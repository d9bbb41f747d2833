/** Times of an ownership lease, in milliseconds. */
interface LeaseTimes {
  /** Time after which the store gives a silent member's shares away. */
  readonly ttlMs: number;
  /** Time that must pass between the acts of two owners. */
  readonly handoverMs: number;
}

/** Part of the time to live that an owner does not use: clocks and answers are late. */
const MARGIN_SHARE = 0.2;
/** Longest time that a lease is kept up without the store, in milliseconds. */
const EXTENSION_MAX_MS = 20_000;

interface Share {
  /** Generation at which the share was won: the fencing token. */
  readonly token: number;
  readonly usableFromMs: number;
}

/**
 * Which shares of the endpoints this instance may give orders to. An owner stops before the store
 * can give its share away, and a new one waits until the old one must have stopped.
 */
export class OwnershipLease {
  readonly #times: LeaseTimes;
  #shares = new Map<number, Share>();
  #generation = 0;
  #heldUntilMs = -Infinity;
  /** End of the time that the lease is kept up without the store. */
  #extendedUntilMs = -Infinity;

  /** @param times - times of the lease */
  constructor(times: LeaseTimes) {
    this.#times = times;
  }

  /** Generation of the group that was last heard of. */
  get generation(): number {
    return this.#generation;
  }

  /** Shares that the store has given to this instance, usable or not. */
  get shares(): readonly number[] {
    return [...this.#shares.keys()];
  }

  /** @returns whether the lease has lapsed: nothing may be done until it has been renewed */
  hasLapsed(nowMs: number): boolean {
    return nowMs >= Math.max(this.#heldUntilMs, this.#extendedUntilMs);
  }

  /**
   * Keeps the lease up while nobody can renew: shares change hands only by a renewal that the store
   * answers. Once lapsed it stays so until it has been renewed.
   *
   * @param untilMs - how long every other instance is known to have been without the store, in
   *   milliseconds
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  extend(untilMs: number, nowMs: number): void {
    if (this.hasLapsed(nowMs)) return;
    this.#extendedUntilMs = Math.min(untilMs, this.#heldUntilMs + EXTENSION_MAX_MS);
  }

  /**
   * Takes the store's answer to a renewal.
   *
   * @param answer - generation and shares as the store sees them
   * @param sentMs - when the renewal was sent, in milliseconds: the time to live counts from then
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  renewed(
    answer: { readonly generation: number; readonly shares: readonly number[] },
    sentMs: number,
    nowMs: number,
  ): void {
    const { generation, shares } = answer;
    const { ttlMs, handoverMs } = this.#times;
    // While the lease had lapsed another instance may have won a share and lost it again.
    const isContinuous = generation === this.#generation || nowMs < this.#heldUntilMs;
    const next = new Map<number, Share>();
    shares.forEach((share) => {
      const known = isContinuous ? this.#shares.get(share) : undefined;
      const fresh = { token: generation, usableFromMs: nowMs + ttlMs + handoverMs };
      next.set(share, known ?? fresh);
    });
    this.#shares = next;
    this.#generation = generation;
    this.#heldUntilMs = sentMs + ttlMs * (1 - MARGIN_SHARE);
    this.#extendedUntilMs = -Infinity;
  }

  /**
   * Lets a share be used sooner, because the owner before has said that it stopped.
   *
   * @param share - a share that this instance owns
   * @param token - the fencing token that the release was checked against
   * @param lastActMs - when the owner before last acted, in milliseconds
   */
  released(share: number, token: number, lastActMs: number): void {
    const known = this.#shares.get(share);
    if (known?.token !== token) return;
    const usableFromMs = Math.min(known.usableFromMs, lastActMs + this.#times.handoverMs);
    this.#shares.set(share, { token, usableFromMs });
  }

  /**
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns shares that wait for their owner before to stop, with their tokens
   */
  waiting(nowMs: number): { readonly share: number; readonly token: number }[] {
    return [...this.#shares].flatMap(([share, { token, usableFromMs }]) =>
      nowMs < usableFromMs ? [{ share, token }] : [],
    );
  }

  /** Gives all shares up until the next renewal: this instance stood still, or is stopping. */
  suspend(): void {
    this.#heldUntilMs = -Infinity;
    this.#extendedUntilMs = -Infinity;
  }

  /**
   * @param share - a share of the endpoints
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns the fencing token to act with, or `undefined` when this instance must not act
   */
  tokenOf(share: number, nowMs: number): number | undefined {
    const known = this.#shares.get(share);
    if (!known || this.hasLapsed(nowMs) || nowMs < known.usableFromMs) return undefined;
    return known.token;
  }
}
