import { canonicalDigest } from '@chervilseam/model';
import type { Rumor } from './rumor.js';

const KNOWN_ANSWER_COUNT_MAX = 4;
const SEND_FACTOR = 3;

interface HeldRumor {
  rumor: Rumor;
  /** Size estimate for packing, in bytes. */
  bytes: number;
  sendCount: number;
  knownCount: number;
}

type Version = Rumor['version'];

const isNewer = (left: Version, right: Version): boolean =>
  left[0] > right[0] || (left[0] === right[0] && left[1] > right[1]);

/**
 * Facts that spread by being sent along with heartbeats. A fact is sent on a number of times that
 * grows with the logarithm of the group, and fewer when others answer that they know it already.
 */
export class RumorTable {
  readonly #held = new Map<string, HeldRumor>();
  readonly #hot = new Set<string>();

  /** Facts that are still being spread; a count. */
  get hotCount(): number {
    return this.#hot.size;
  }

  /** All facts that are held. */
  all(): Rumor[] {
    return [...this.#held.values()].map(({ rumor }) => rumor);
  }

  /** @returns a digest of all keys and versions, equal where the same facts are held */
  digest(): string {
    const versions = [...this.#held.values()].map(({ rumor }) => `${rumor.key}@${rumor.version}`);
    return canonicalDigest(versions.sort());
  }

  /**
   * @param key - key of a fact
   * @returns the fact, if it is known
   */
  get(key: string): Rumor | undefined {
    return this.#held.get(key)?.rumor;
  }

  /**
   * Takes a fact, and starts to spread it when it is news.
   *
   * @param rumor - the fact
   * @param isSpread - whether others may not know it yet
   * @returns whether it was news
   */
  take(rumor: Rumor, isSpread = true): boolean {
    const held = this.#held.get(rumor.key);
    if (held && !isNewer(rumor.version, held.rumor.version)) return false;
    const bytes = JSON.stringify(rumor).length;
    this.#held.set(rumor.key, { rumor, bytes, sendCount: 0, knownCount: 0 });
    if (isSpread) this.#hot.add(rumor.key);
    return true;
  }

  /**
   * Spreads a fact once more, as when the other side holds an older version.
   *
   * @param key - key of the fact
   */
  reheat(key: string): void {
    const held = this.#held.get(key);
    if (!held) return;
    held.sendCount = 0;
    held.knownCount = 0;
    this.#hot.add(key);
  }

  /**
   * Chooses what to send along, least sent first.
   *
   * @param budgetBytes - room in the datagram, in bytes
   * @param groupSize - instances that the facts have to reach
   * @returns the facts to send; each counts as sent
   */
  pick(budgetBytes: number, groupSize: number): Rumor[] {
    const sendCountMax = SEND_FACTOR * Math.ceil(Math.log2(groupSize + 1));
    const hot = [...this.#hot].map((key) => this.#held.get(key) as HeldRumor);
    hot.sort((left, right) => left.sendCount - right.sendCount);
    const picked: Rumor[] = [];
    let leftBytes = budgetBytes;
    hot.forEach((held) => {
      if (held.bytes > leftBytes) return;
      leftBytes -= held.bytes;
      picked.push(held.rumor);
      // eslint-disable-next-line no-param-reassign -- the held entry keeps its own counts
      held.sendCount += 1;
      if (held.sendCount >= sendCountMax) this.#hot.delete(held.rumor.key);
    });
    return picked;
  }

  /**
   * Notes that another instance knew facts already.
   *
   * @param keys - their keys
   */
  noteKnown(keys: readonly string[]): void {
    keys.forEach((key) => {
      const held = this.#held.get(key);
      if (!held) return;
      held.knownCount += 1;
      if (held.knownCount >= KNOWN_ANSWER_COUNT_MAX) this.#hot.delete(key);
    });
  }

  /**
   * Forgets a fact.
   *
   * @param key - its key
   */
  forget(key: string): void {
    this.#held.delete(key);
    this.#hot.delete(key);
  }
}
