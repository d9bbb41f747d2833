import { canonicalDigest } from '@chervilseam/model';
import type { Rumor } from './rumor.js';

/**
 * Number of acks saying that the receiver knew a rumor already, after which it is not sent again.
 */
const KNOWN_COUNT_MAX = 4;
/**
 * Maximum number of times that a rumor is sent, as a multiple of the binary logarithm (rounded up)
 * of the group's size plus 1.
 */
const SEND_FACTOR = 3;

interface RumorEntry {
  rumor: Rumor;
  /** Estimated size in a datagram, in bytes: the length of the JSON text. */
  bytes: number;
  /** Number of times this instance has sent the rumor since it began to spread it. */
  sendCount: number;
  /** Number of acks since then which said that the receiver knew the rumor already. */
  knownCount: number;
}

type Version = Rumor['version'];

const isNewer = (left: Version, right: Version): boolean =>
  left[0] > right[0] || (left[0] === right[0] && left[1] > right[1]);

/**
 * Rumors that are piggybacked on heartbeats. An instance sends each rumor a number of times that
 * grows with the logarithm of the group's size, and stops earlier once enough receivers have
 * answered that they knew it already.
 */
export class RumorTable {
  readonly #entries = new Map<string, RumorEntry>();
  readonly #spreadingKeys = new Set<string>();

  /** Number of rumors that this instance is still spreading. */
  get spreadingCount(): number {
    return this.#spreadingKeys.size;
  }

  /** @returns all known rumors, including those that are no longer spread */
  all(): Rumor[] {
    return [...this.#entries.values()].map(({ rumor }) => rumor);
  }

  /** @returns a digest of all keys and versions; equal digests mean the same rumors are known */
  digest(): string {
    const versions = [...this.#entries.values()].map(
      ({ rumor }) => `${rumor.key}@${rumor.version}`,
    );
    return canonicalDigest(versions.sort());
  }

  /**
   * @param key - key of a rumor
   * @returns the rumor, or `undefined` when it is not known
   */
  get(key: string): Rumor | undefined {
    return this.#entries.get(key)?.rumor;
  }

  /**
   * Stores a rumor unless the same or a newer version is known, and begins to spread it.
   *
   * @param rumor - the rumor
   * @param shouldSpread - whether to spread it; `false` when the other instances have it already
   * @returns whether it was new and has been stored
   */
  store(rumor: Rumor, shouldSpread = true): boolean {
    const entry = this.#entries.get(rumor.key);
    if (entry && !isNewer(rumor.version, entry.rumor.version)) return false;
    const bytes = JSON.stringify(rumor).length;
    this.#entries.set(rumor.key, { rumor, bytes, sendCount: 0, knownCount: 0 });
    if (shouldSpread) this.#spreadingKeys.add(rumor.key);
    return true;
  }

  /**
   * Restarts the spreading of a known rumor, for example because another instance was found to have
   * an older version. Does nothing for an unknown key.
   *
   * @param key - key of the rumor
   */
  spreadAgain(key: string): void {
    const entry = this.#entries.get(key);
    if (!entry) return;
    entry.sendCount = 0;
    entry.knownCount = 0;
    this.#spreadingKeys.add(key);
  }

  /**
   * Selects rumors for one datagram, those sent least often first.
   *
   * @param budgetBytes - space in the datagram, in bytes
   * @param groupSize - number of instances that the rumors have to reach
   * @returns the rumors to send; each is counted as sent
   */
  pick(budgetBytes: number, groupSize: number): Rumor[] {
    const sendCountMax = SEND_FACTOR * Math.ceil(Math.log2(groupSize + 1));
    const spreading = [...this.#spreadingKeys].map((key) => this.#entries.get(key) as RumorEntry);
    spreading.sort((left, right) => left.sendCount - right.sendCount);
    const picked: Rumor[] = [];
    let remainingBytes = budgetBytes;
    spreading.forEach((entry) => {
      if (entry.bytes > remainingBytes) return;
      remainingBytes -= entry.bytes;
      picked.push(entry.rumor);
      // eslint-disable-next-line no-param-reassign -- the counters are kept in the entry itself
      entry.sendCount += 1;
      if (entry.sendCount >= sendCountMax) this.#spreadingKeys.delete(entry.rumor.key);
    });
    return picked;
  }

  /**
   * Counts an ack which says that another instance knew these rumors already, and stops spreading
   * those for which enough such acks have come.
   *
   * @param keys - keys of the rumors
   */
  countKnown(keys: readonly string[]): void {
    keys.forEach((key) => {
      const entry = this.#entries.get(key);
      if (!entry) return;
      entry.knownCount += 1;
      if (entry.knownCount >= KNOWN_COUNT_MAX) this.#spreadingKeys.delete(key);
    });
  }

  /**
   * Removes a rumor.
   *
   * @param key - key of the rumor
   */
  remove(key: string): void {
    this.#entries.delete(key);
    this.#spreadingKeys.delete(key);
  }
}
