import type { ListUpdate } from '../feed/list-update.js';
import type { PeerAddress } from './peer-address.js';
import { peerKey } from './peer-key.js';
import type { SharedList } from './shared-list.js';

/** Time after which an instance that nothing was sent to is removed, in milliseconds. */
const RETENTION_MS = 60_000;

/**
 * Time for which updates repeat the changes of earlier ones that were not answered, in milliseconds.
 */
const REPEAT_MS = 5_000;

/** Answer to an update. */
interface ListAnswer {
  /** Offset of the list that the receiver has now; `undefined` if it has none. */
  readonly offset?: number;
  /** Whether the receiver is still behind and cannot read the store. */
  readonly needsWhole?: boolean;
}

/** Dependencies of the relay. */
interface ListRelayContext {
  readonly nowMs: () => number;
  /** Whether this instance owns shares. */
  readonly isOwner: () => boolean;
  /** Addresses of the other owners of shares. */
  readonly owners: () => readonly PeerAddress[];
  /** Addresses of the instances that this one aggregates. */
  readonly followers: () => readonly PeerAddress[];
  /** Sends an update to another instance and returns its answer; rejects when there is none. */
  readonly send: (address: PeerAddress, update: ListUpdate) => Promise<unknown>;
  readonly list: SharedList;
}

/** What another instance has, according to its last answer. */
interface Receiver {
  readonly offset?: number;
  /** When something was last sent to it, in milliseconds. */
  readonly sentMs: number;
  /** When the first update that it has not answered was sent, in milliseconds. */
  readonly unansweredMs?: number;
  /** Times from its last two answered updates to their answers, in milliseconds. */
  readonly roundTripsMs?: readonly number[];
}

/**
 * Sends changes of the list of endpoints to other instances: an owner of shares sends what it read to the other owners, and
 * every owner sends what it read or received to its followers. An update holds from the offset that it names on, and the
 * receiver answers which offset it has: what did not reach it is part of the next update, and what it lacks is sent at once.
 */
export class ListRelay {
  readonly #context: ListRelayContext;
  readonly #receivers = new Map<string, Receiver>();

  /** @param context - dependencies of the relay */
  constructor(context: ListRelayContext) {
    this.#context = context;
  }

  /**
   * Sends what this instance read.
   *
   * @param previousOffset - offset of the list that this instance had before
   */
  relay(previousOffset: number | undefined): void {
    const { isOwner, owners, followers } = this.#context;
    if (!isOwner()) return;
    this.#tell([...owners(), ...followers()], previousOffset);
  }

  /**
   * Applies the changes that another instance sent, and sends them to the followers of this one.
   *
   * @param update - the changes
   * @param from - name of the instance that sent it
   * @returns the answer to that instance
   */
  receive(update: ListUpdate, from: string): ListAnswer {
    const { isOwner, followers, list } = this.#context;
    const previousOffset = list.offset;
    list.applyUpdate(update, from);
    const { offset } = list;
    if (isOwner() && offset === update.nextOffset) this.#tell(followers(), previousOffset);
    const isBehind = ListRelay.#isBehind({ offset }, update);
    return { offset, needsWhole: isBehind && list.isReadFailing };
  }

  #tell(addresses: readonly PeerAddress[], previousOffset: number | undefined): void {
    const { list } = this.#context;
    this.#forget();
    // Most receivers have the list at the same offset, so each difference is worked out once.
    const updates = new Map([[previousOffset, list.since(previousOffset)]]);
    addresses.forEach((address) => {
      const offset = this.#expectedOffset(address, previousOffset);
      if (!updates.has(offset)) updates.set(offset, list.since(offset));
      const update = updates.get(offset) ?? updates.get(previousOffset);
      if (update) void this.#send(address, update);
    });
  }

  async #send(address: PeerAddress, update: ListUpdate): Promise<void> {
    const { list } = this.#context;
    const answer = await this.#answerTo(address, update);
    if (!ListRelay.#isBehind(answer, update)) return;
    // The receiver has less than was expected.
    const missing = list.since(answer.offset);
    const laterAnswer = missing ? await this.#answerTo(address, missing) : answer;
    if (!laterAnswer.needsWhole || !ListRelay.#isBehind(laterAnswer, update)) return;
    const { whole } = list;
    if (whole) await this.#answerTo(address, whole);
  }

  static #isBehind({ offset }: ListAnswer, { nextOffset }: ListUpdate): boolean {
    return offset === undefined || offset < nextOffset;
  }

  // Other owners send changes too, so most receivers have the offset that this instance had; one that has not answered an
  // update may have missed it.
  #expectedOffset(address: PeerAddress, previousOffset: number | undefined): number | undefined {
    const { offset, unansweredMs } = this.#receivers.get(peerKey(address)) ?? {};
    if (offset === undefined || previousOffset === undefined) return previousOffset;
    const isRepeated = this.#context.nowMs() < (unansweredMs ?? -Infinity) + REPEAT_MS;
    return isRepeated ? Math.min(offset, previousOffset) : Math.max(offset, previousOffset);
  }

  async #answerTo(address: PeerAddress, update: ListUpdate): Promise<ListAnswer> {
    const { send, nowMs, list } = this.#context;
    const key = peerKey(address);
    const sentMs = nowMs();
    const known = this.#receivers.get(key);
    const { unansweredMs = sentMs, roundTripsMs = [0] } = known ?? {};
    this.#receivers.set(key, { ...known, sentMs, unansweredMs });
    // The clocks of two instances cannot be compared, so the way is taken to be as long as the last ones and back; a
    // single late answer does not count.
    const wayMs = Math.max(Math.min(...roundTripsMs), sentMs - unansweredMs);
    try {
      const answer = (await send(address, {
        ...update,
        ageMs: list.ageMs + wayMs,
      })) as ListAnswer;
      const roundTripMs = nowMs() - sentMs;
      const { offset } = answer;
      this.#receivers.set(key, { offset, sentMs, roundTripsMs: [roundTripMs, roundTripsMs[0]] });
      return answer;
    } catch {
      // The next update repeats the changes. Without any, the receiver reads the list from the store.
      return {};
    }
  }

  #forget(): void {
    const nowMs = this.#context.nowMs();
    this.#receivers.forEach(({ sentMs }, key) => {
      if (nowMs > sentMs + RETENTION_MS) this.#receivers.delete(key);
    });
  }
}
