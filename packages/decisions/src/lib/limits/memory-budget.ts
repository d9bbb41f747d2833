import type { HeldMemory } from './held-memory.js';

/** Share of the budget that is reserved for small holdings, so that large ones don't starve them. */
const SMALL_SHARE = 0.125;
/** Largest holding that counts as small, in bytes. */
const SMALL_BYTES_MAX = 64 * 1024;

/** Bytes that one owner holds. */
interface Holding<Kind extends string> {
  readonly kind: Kind;
  bytes: number;
  /** Frees the bytes; `undefined` for bytes that must be kept. */
  readonly evict: (() => void) | undefined;
}

/**
 * Limits the total of what a process buffers, over all kinds. A new holding has to fit; a holding that grows beyond the
 * limit evicts the largest evictable one. Small ones are evicted only once the part that is reserved for them is used up.
 */
export class MemoryBudget<Kind extends string> {
  readonly #limitBytes: number;
  /** Limit for large holdings; beyond it the largest evictable holdings are evicted, in bytes. */
  readonly #largeLimitBytes: number;
  readonly #onEvicted: (kind: Kind, bytes: number) => void;
  readonly #evictable = new Set<Holding<Kind>>();
  readonly #bytesByKind = new Map<Kind, number>();
  #usedBytes = 0;

  /**
   * @param limitBytes - limit of the total, in bytes
   * @param onEvicted - called before a holding is evicted
   */
  constructor(limitBytes: number, onEvicted: (kind: Kind, bytes: number) => void = () => {}) {
    this.#limitBytes = limitBytes;
    this.#largeLimitBytes = (1 - SMALL_SHARE) * limitBytes;
    this.#onEvicted = onEvicted;
  }

  /** Limit of the total, in bytes. */
  get limitBytes(): number {
    return this.#limitBytes;
  }

  /** Total of all holdings, in bytes. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Whether there is room for small holdings alone. */
  get isShort(): boolean {
    return this.#usedBytes > this.#largeLimitBytes;
  }

  /** Total by kind, in bytes. */
  get bytesByKind(): ReadonlyMap<Kind, number> {
    return this.#bytesByKind;
  }

  /** @returns whether that many further bytes can be held now; a part of the budget is for small holdings alone */
  fits(bytes: number): boolean {
    const isSmall = bytes <= SMALL_BYTES_MAX;
    return this.#usedBytes + bytes <= (isSmall ? this.#limitBytes : this.#largeLimitBytes);
  }

  /** @returns whether that many bytes could be held if nothing else were */
  everFits(bytes: number): boolean {
    return bytes <= this.#largeLimitBytes;
  }

  /**
   * Begins a holding of no bytes.
   *
   * @param kind - what is held
   * @param evict - frees the bytes and ends the holding; left out for bytes that must be kept
   * @returns the holding
   */
  hold(kind: Kind, evict?: () => void): HeldMemory {
    const holding: Holding<Kind> = { kind, bytes: 0, evict };
    return {
      get bytes() {
        return holding.bytes;
      },
      resize: (bytes) => {
        const growth = bytes - holding.bytes;
        if (growth === 0) return;
        holding.bytes = bytes;
        this.#usedBytes += growth;
        this.#bytesByKind.set(kind, (this.#bytesByKind.get(kind) ?? 0) + growth);
        if (!evict) return;
        if (bytes > 0) this.#evictable.add(holding);
        else this.#evictable.delete(holding);
        if (growth > 0) this.#evictBeyondLimit();
      },
    };
  }

  #evictBeyondLimit(): void {
    while (this.isShort && this.#evictable.size > 0) {
      const largest = [...this.#evictable].reduce((left, right) =>
        right.bytes > left.bytes ? right : left,
      );
      if (largest.bytes <= SMALL_BYTES_MAX && this.#usedBytes <= this.#limitBytes) return;
      this.#evictable.delete(largest);
      this.#onEvicted(largest.kind, largest.bytes);
      largest.evict?.();
    }
  }
}
