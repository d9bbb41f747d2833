import { judgeKey } from './judge-key.js';
import type { KeyClaim } from './key-claim.js';
import type { KeyEntry } from './key-entry.js';
import { KeyLedger } from './key-ledger.js';
import type { KeyVerdict } from './key-verdict.js';

/**
 * Keys that one life of one instance made and alone decides about, in its memory, without the log.
 * When that life is over, nobody can tell whether such a key ran, and it never runs again.
 */
export class MintedKeys {
  readonly #incarnation: string;
  readonly #ledger: KeyLedger;
  readonly #memoryMs: number;
  readonly #mintedMs = new Map<string, number>();
  #count = 0;
  #entryCount = 0;

  /**
   * @param incarnation - unique name of this life of the instance
   * @param memoryMs - how long a key is good, in milliseconds
   */
  constructor(incarnation: string, memoryMs: number) {
    this.#incarnation = incarnation;
    this.#memoryMs = memoryMs;
    this.#ledger = new KeyLedger(memoryMs);
  }

  /**
   * Reads who made a key.
   *
   * @param key - a key
   * @returns the incarnation that made it, or `undefined` for a caller's own key
   */
  static minterOf(key: string): string | undefined {
    return /^minted:([^:]+):\d+$/.exec(key)?.[1];
  }

  /**
   * Makes a key.
   *
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns a key that was never used
   */
  mint(nowMs: number): string {
    this.#forgetOld(nowMs);
    this.#count += 1;
    const key = `minted:${this.#incarnation}:${this.#count}`;
    this.#mintedMs.set(key, nowMs);
    return key;
  }

  /**
   * Decides a claim.
   *
   * @param claim - a wish to run an attempt, for a key as {@link mint} returned it
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns the verdict
   */
  claim(claim: KeyClaim, nowMs: number): KeyVerdict {
    this.#forgetOld(nowMs);
    if (!this.#mintedMs.has(claim.key)) return { type: 'expired' };
    this.#apply({ id: '', type: 'intent', ...claim }, nowMs);
    return judgeKey(this.#ledger, claim);
  }

  /**
   * Records what became of an attempt.
   *
   * @param entry - an outcome, or a release
   * @param nowMs - a clock that only goes forward, in milliseconds
   */
  settle(entry: KeyEntry, nowMs: number): void {
    this.#apply(entry, nowMs);
  }

  #apply(value: KeyEntry, timeMs: number): void {
    this.#entryCount += 1;
    this.#ledger.apply({ offset: this.#entryCount, timeMs, value });
  }

  #forgetOld(nowMs: number): void {
    // eslint-disable-next-line no-restricted-syntax -- stops at the first young key
    for (const [key, mintedMs] of this.#mintedMs) {
      if (nowMs - mintedMs < this.#memoryMs) return;
      this.#mintedMs.delete(key);
    }
  }
}
