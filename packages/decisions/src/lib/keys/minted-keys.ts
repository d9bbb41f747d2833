import { decideKeyClaim } from './decide-key-claim.js';
import type { KeyClaim } from './key-claim.js';
import type { KeyEntry } from './key-entry.js';
import { KeyLedger } from './key-ledger.js';
import type { KeyVerdict } from './key-verdict.js';

/**
 * Idempotency keys that this run of the instance generated itself. Claims of them are decided by
 * this run alone, in its memory and without the log. After it has exited, it is unknown whether a
 * request ran under such a key, so nothing runs under it any more.
 */
export class MintedKeys {
  readonly #bootId: string;
  readonly #ledger: KeyLedger;
  readonly #memoryMs: number;
  readonly #mintedMs = new Map<string, number>();
  #mintedCount = 0;
  #entryCount = 0;

  /**
   * @param bootId - unique id of this run of the instance
   * @param memoryMs - how long a key is valid after it was generated, in milliseconds
   */
  constructor(bootId: string, memoryMs: number) {
    this.#bootId = bootId;
    this.#memoryMs = memoryMs;
    this.#ledger = new KeyLedger(memoryMs);
  }

  /**
   * Extracts which run of an instance generated a key.
   *
   * @param key - a key
   * @returns the id of that run, or `undefined` for a key that a caller chose
   */
  static minterOf(key: string): string | undefined {
    return /^minted:([^:]+):\d+$/.exec(key)?.[1];
  }

  /**
   * Generates a key.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns a key that has never been used
   */
  mint(nowMs: number): string {
    this.#removeExpired(nowMs);
    this.#mintedCount += 1;
    const key = `minted:${this.#bootId}:${this.#mintedCount}`;
    this.#mintedMs.set(key, nowMs);
    return key;
  }

  /**
   * Decides a claim.
   *
   * @param claim - the claim, for a key that {@link mint} returned
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the verdict
   */
  claim(claim: KeyClaim, nowMs: number): KeyVerdict {
    this.#removeExpired(nowMs);
    if (!this.#mintedMs.has(claim.key)) return { type: 'expired' };
    this.#apply({ id: '', type: 'intent', ...claim }, nowMs);
    return decideKeyClaim(this.#ledger, claim);
  }

  /**
   * Records how an attempt ended.
   *
   * @param entry - an outcome, or a release
   * @param nowMs - monotonic clock, in milliseconds
   */
  settle(entry: KeyEntry, nowMs: number): void {
    this.#apply(entry, nowMs);
  }

  #apply(value: KeyEntry, timeMs: number): void {
    this.#entryCount += 1;
    this.#ledger.apply({ offset: this.#entryCount, timeMs, value });
  }

  #removeExpired(nowMs: number): void {
    // eslint-disable-next-line no-restricted-syntax -- stops at the first key that is not expired
    for (const [key, mintedMs] of this.#mintedMs) {
      if (nowMs - mintedMs < this.#memoryMs) return;
      this.#mintedMs.delete(key);
    }
  }
}
