import { Journal } from '../journal/journal.js';
import type { KeyClaim } from './key-claim.js';
import type { KeyEntry } from './key-entry.js';
import { KeyLedger } from './key-ledger.js';
import type { KeyVerdict } from './key-verdict.js';
import { decideKeyClaim } from './decide-key-claim.js';

/** Number of remembered keys from which new claims are refused as `unordered`. */
const KEY_COUNT_MAX = 200_000;
/**
 * Number of unconfirmed settlements kept while the log is down; beyond it the oldest is dropped.
 */
const SETTLEMENT_COUNT_MAX = 20_000;

interface KeyHomeOptions {
  /** How long a key is remembered, in milliseconds. */
  readonly memoryMs: number;
  /** Minimum time between two appends, in milliseconds. */
  readonly lingerMs: number;
  /** Number of records after which a snapshot is written. */
  readonly snapshotEvery: number;
}

/** The verdict on the claim of one attempt. */
interface KeyAnswer {
  readonly attempt: string;
  readonly verdict: KeyVerdict;
}

/** Maximum number of entries in one append. */
const BATCH_COUNT_MAX = 500;

/**
 * The home of one partition of the idempotency keys: the place where claims of these keys are
 * decided. It appends an intent for each claim to the partition's log stream and reads the order
 * back. Several instances may be home of a partition at once, since the order in the log decides.
 */
export class KeyHome {
  readonly ledger: KeyLedger;
  readonly #journal: Journal<KeyEntry>;
  readonly #options: KeyHomeOptions;
  readonly #pendingClaims = new Map<string, KeyClaim>();
  /** Unconfirmed settlements: not read back from the log yet; by entry id. */
  readonly #openSettlements = new Map<string, KeyEntry>();
  readonly #answers: KeyAnswer[] = [];
  readonly #name: string;
  #entryCount = 0;
  #lastSnapshotOffset = 0;

  /**
   * @param name - unique name of this home in this run of its instance; prefix of its entries' ids
   * @param options - retention of keys, rates of appends and snapshots
   */
  constructor(name: string, options: KeyHomeOptions) {
    this.#name = name;
    this.#options = options;
    this.ledger = new KeyLedger(options.memoryMs);
    const { lingerMs } = options;
    this.#journal = new Journal(this.ledger, {
      lingerMs,
      idleReadIntervalMs: Infinity,
      batchCountMax: BATCH_COUNT_MAX,
    });
  }

  /** Whether the last call to the log failed. */
  get isDown(): boolean {
    return this.#journal.isDown;
  }

  /** Number of entries that are queued or not confirmed by the log yet. */
  get pendingCount(): number {
    return this.#journal.pendingCount;
  }

  /** @param claim - the claim to decide; its verdict is returned by {@link takeAnswers} later */
  claim(claim: KeyClaim): void {
    const known = this.#verdictWithoutLog(claim);
    if (known) {
      this.#answers.push({ attempt: claim.attempt, verdict: known });
      return;
    }
    const id = this.#nextId();
    this.#pendingClaims.set(id, claim);
    this.#journal.submit({ id, type: 'intent', ...claim });
  }

  /**
   * Records how an attempt ended.
   *
   * @param settlement - the outcome, or a release of an attempt that never ran
   */
  settle(
    settlement:
      Omit<KeyEntry & { type: 'outcome' }, 'id'> | Omit<KeyEntry & { type: 'release' }, 'id'>,
  ): void {
    const entry = { id: this.#nextId(), ...settlement } as KeyEntry;
    const [oldest] = this.#openSettlements.keys();
    if (this.#openSettlements.size >= SETTLEMENT_COUNT_MAX) this.#openSettlements.delete(oldest);
    this.#openSettlements.set(entry.id, entry);
    this.#journal.submit(entry);
  }

  /** See {@link Journal.next}. */
  next(nowMs: number): ReturnType<Journal<KeyEntry>['next']> {
    this.#snapshotIfDue();
    return this.#journal.next(nowMs);
  }

  /** See {@link Journal.onAppended}. */
  onAppended(firstOffset: number): void {
    this.#journal.onAppended(firstOffset);
  }

  /** See {@link Journal.onAppendFailed}. */
  onAppendFailed(): void {
    this.#journal.onAppendFailed();
  }

  /** See {@link Journal.onRead}. */
  onRead(page: Parameters<Journal<KeyEntry>['onRead']>[0]): void {
    this.#journal.onRead(page);
    this.#answerClaims();
  }

  /** See {@link Journal.onReadFailed}. */
  onReadFailed(): void {
    this.#journal.onReadFailed();
    this.#answerClaims();
  }

  /** @returns the verdicts reached since the last call */
  takeAnswers(): KeyAnswer[] {
    return this.#answers.splice(0);
  }

  #nextId(): string {
    this.#entryCount += 1;
    return `${this.#name}.${this.#entryCount}`;
  }

  // Only the state `ran` is final, so only such a key can be decided without an append. A key that
  // is held in the ledger may have been settled by another home since the last read.
  #verdictWithoutLog(claim: KeyClaim): KeyVerdict | undefined {
    const { state } = this.ledger.get(claim.key);
    if (state === 'ran') return decideKeyClaim(this.ledger, claim);
    return this.ledger.size >= KEY_COUNT_MAX ? { type: 'unordered' } : undefined;
  }

  #answerClaims(): void {
    this.#journal.takeResults().forEach(({ id, isRecorded }) => {
      this.#resubmitSettlement(id, isRecorded);
      const claim = this.#pendingClaims.get(id);
      if (!claim) return;
      this.#pendingClaims.delete(id);
      const verdict: KeyVerdict = isRecorded
        ? decideKeyClaim(this.ledger, claim)
        : { type: 'unordered' };
      // An intent that lost, or that was not read back, may still be appended late or a second time
      // and would then hold the key if it is free again. As this attempt will never run, it is
      // released.
      if (verdict.type !== 'granted') this.#release(claim);
      this.#answers.push({ attempt: claim.attempt, verdict });
    });
  }

  // An outcome or a release that was not read back is appended again: a duplicate has no effect,
  // but without it the key would be held forever.
  #resubmitSettlement(id: string, isRecorded: boolean): void {
    const settlement = this.#openSettlements.get(id);
    if (!settlement) return;
    if (isRecorded) this.#openSettlements.delete(id);
    else this.#journal.submit(settlement);
  }

  #release({ key, attempt }: KeyClaim): void {
    this.settle({ type: 'release', key, attempt });
  }

  #snapshotIfDue(): void {
    const recordsSinceSnapshot = this.ledger.offset - this.#lastSnapshotOffset;
    if (recordsSinceSnapshot < this.#options.snapshotEvery || !this.ledger.isWhole) return;
    this.#lastSnapshotOffset = this.ledger.offset;
    this.#journal.submit({
      id: this.#nextId(),
      type: 'snapshot',
      snapshot: this.ledger.snapshot(),
    });
  }
}
