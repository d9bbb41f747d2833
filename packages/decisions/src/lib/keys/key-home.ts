import { Journal } from '../journal/journal.js';
import type { KeyClaim } from './key-claim.js';
import type { KeyEntry } from './key-entry.js';
import { KeyLedger } from './key-ledger.js';
import type { KeyVerdict } from './key-verdict.js';
import { judgeKey } from './judge-key.js';

const KEY_COUNT_MAX = 200_000;
/** Outcomes kept for a log that is down; beyond it the oldest are given up. */
const SETTLEMENT_COUNT_MAX = 20_000;

interface KeyHomeOptions {
  /** How long a key is remembered, in milliseconds. */
  readonly memoryMs: number;
  /** Least time between two appends, in milliseconds. */
  readonly lingerMs: number;
  /** Records after which a snapshot is due; a count. */
  readonly snapshotEvery: number;
}

/** An answer to a claim, known by its attempt. */
interface KeyAnswer {
  readonly attempt: string;
  readonly verdict: KeyVerdict;
}

const BATCH_COUNT_MAX = 500;

/**
 * Decides claims of the keys of one partition through the log. Any number of instances may do this
 * for one partition at once: the order of the log decides, not the home.
 */
export class KeyHome {
  readonly ledger: KeyLedger;
  readonly #journal: Journal<KeyEntry>;
  readonly #options: KeyHomeOptions;
  readonly #claims = new Map<string, KeyClaim>();
  readonly #settlements = new Map<string, KeyEntry>();
  readonly #answers: KeyAnswer[] = [];
  readonly #name: string;
  #entryCount = 0;
  #lastSnapshotOffset = 0;

  /**
   * @param name - unique name of this life of the home, for the ids of its entries
   * @param options - memory and rates
   */
  constructor(name: string, options: KeyHomeOptions) {
    this.#name = name;
    this.#options = options;
    this.ledger = new KeyLedger(options.memoryMs);
    const { lingerMs } = options;
    this.#journal = new Journal(this.ledger, {
      lingerMs,
      tailMs: Infinity,
      batchCountMax: BATCH_COUNT_MAX,
    });
  }

  /** Whether the last call to the log failed. */
  get isDown(): boolean {
    return this.#journal.isDown;
  }

  /** Entries that wait for the log; a count. */
  get pendingCount(): number {
    return this.#journal.pendingCount;
  }

  /** @param claim - a wish to run; its answer comes by {@link takeAnswers} */
  claim(claim: KeyClaim): void {
    const known = this.#knownVerdict(claim);
    if (known) {
      this.#answers.push({ attempt: claim.attempt, verdict: known });
      return;
    }
    const id = this.#nextId();
    this.#claims.set(id, claim);
    this.#journal.submit({ id, type: 'intent', ...claim });
  }

  /**
   * Records what became of an attempt.
   *
   * @param settlement - an outcome, or a release of an attempt that never ran
   */
  settle(
    settlement:
      Omit<KeyEntry & { type: 'outcome' }, 'id'> | Omit<KeyEntry & { type: 'release' }, 'id'>,
  ): void {
    const entry = { id: this.#nextId(), ...settlement } as KeyEntry;
    const [oldest] = this.#settlements.keys();
    if (this.#settlements.size >= SETTLEMENT_COUNT_MAX) this.#settlements.delete(oldest);
    this.#settlements.set(entry.id, entry);
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

  /** @returns answers to claims since the last call */
  takeAnswers(): KeyAnswer[] {
    return this.#answers.splice(0);
  }

  #nextId(): string {
    this.#entryCount += 1;
    return `${this.#name}.${this.#entryCount}`;
  }

  // What the ledger knows for good needs no append: a key that ran will always have run. A key that
  // is held may have been settled since the last read, by another home.
  #knownVerdict(claim: KeyClaim): KeyVerdict | undefined {
    const { state } = this.ledger.get(claim.key);
    if (state === 'ran') return judgeKey(this.ledger, claim);
    return this.ledger.size >= KEY_COUNT_MAX ? { type: 'unordered' } : undefined;
  }

  #answerClaims(): void {
    this.#journal.takeResults().forEach(({ id, isRecorded }) => {
      this.#repeatSettlement(id, isRecorded);
      const claim = this.#claims.get(id);
      if (!claim) return;
      this.#claims.delete(id);
      const verdict: KeyVerdict = isRecorded ? judgeKey(this.ledger, claim) : { type: 'unordered' };
      // An intent that lost or was not seen may still turn up, late or twice, once its key is free
      // again: its attempt will never run, and says so.
      if (verdict.type !== 'granted') this.#release(claim);
      this.#answers.push({ attempt: claim.attempt, verdict });
    });
  }

  // An outcome or a release that was not seen is put on the log again: twice does no harm, and
  // without it the key would stay held for good.
  #repeatSettlement(id: string, isRecorded: boolean): void {
    const settlement = this.#settlements.get(id);
    if (!settlement) return;
    if (isRecorded) this.#settlements.delete(id);
    else this.#journal.submit(settlement);
  }

  #release({ key, attempt }: KeyClaim): void {
    this.settle({ type: 'release', key, attempt });
  }

  #snapshotIfDue(): void {
    const behind = this.ledger.offset - this.#lastSnapshotOffset;
    if (behind < this.#options.snapshotEvery || !this.ledger.isWhole) return;
    this.#lastSnapshotOffset = this.ledger.offset;
    this.#journal.submit({
      id: this.#nextId(),
      type: 'snapshot',
      snapshot: this.ledger.snapshot(),
    });
  }
}
