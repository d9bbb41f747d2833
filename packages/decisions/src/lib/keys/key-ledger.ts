import { canonicalDigest } from '@chervilseam/model';
import { loadChart } from '../chart/load-chart.js';
import type { KeyEntry } from './key-entry.js';
import type { KeyRecord } from './key-record.js';
import type { KeySnapshot } from './key-snapshot.js';

const RELEASED_COUNT_MAX = 16;

interface LedgerRecord {
  readonly offset: number;
  readonly timeMs: number;
  readonly value: unknown;
}

const chart = loadChart('key');

const emptyRecord = (key: string): KeyRecord => ({
  key,
  state: chart.initial,
  digest: '',
  attempt: '',
  dispatcher: '',
  timeMs: 0,
  status: 0,
  body: undefined,
  releasedAttempts: [],
});

/**
 * Which attempt may run under each key of one partition: a pure function of the partition's records
 * in offset order. The first intent wins, whoever reads it.
 */
export class KeyLedger {
  readonly #memoryMs: number;
  readonly #keys = new Map<string, KeyRecord>();
  #offset = 0;
  #timeMs = 0;
  /** Keys older than this may have been forgotten. */
  #wholeSinceMs: number | undefined;
  /** Records taken while older ones are missing. */
  #unproven: LedgerRecord[] = [];

  /** @param memoryMs - how long a key is remembered, in milliseconds */
  constructor(memoryMs: number) {
    this.#memoryMs = memoryMs;
  }

  /** Offset of the last record taken. */
  get offset(): number {
    return this.#offset;
  }

  /** Keys remembered; a count. */
  get size(): number {
    return this.#keys.size;
  }

  /** Whether every key of the stated time is remembered. */
  get isWhole(): boolean {
    return this.#wholeSinceMs === undefined || this.#timeMs - this.#memoryMs >= this.#wholeSinceMs;
  }

  /**
   * @param key - a key
   * @returns what is remembered of it
   */
  get(key: string): KeyRecord {
    return this.#keys.get(key) ?? emptyRecord(key);
  }

  /** @param record - the next record */
  apply(record: LedgerRecord): void {
    this.#offset = record.offset;
    // The log's clock may jump; the ledger's only goes forward.
    this.#timeMs = Math.max(this.#timeMs, record.timeMs);
    const entry = record.value as KeyEntry | null;
    if (entry?.type === 'snapshot') this.#adopt(entry.snapshot);
    else this.#take(record);
    if (this.isWhole) this.#unproven = [];
    else this.#unproven.push(record);
  }

  /**
   * Goes on where older records are gone.
   *
   * @param record - the oldest record that is left
   * @param firstOffset - oldest offset that the log keeps
   * @returns whether the record was taken
   */
  skipTo(record: LedgerRecord, firstOffset: number): boolean {
    if (record.offset !== firstOffset) return false;
    this.#wholeSinceMs = record.timeMs;
    this.#unproven = [];
    this.apply(record);
    return true;
  }

  /** @returns the keys still to be remembered, with a digest */
  snapshot(): KeySnapshot {
    this.#forgetOld();
    const state = { offset: this.#offset, keys: [...this.#keys.values()] };
    return { ...state, digest: canonicalDigest(state) };
  }

  // Without the records that are gone, those that are left may have been judged wrongly: the state
  // starts anew from the snapshot, and what came after it is judged again.
  #adopt({ digest, ...state }: KeySnapshot): void {
    if (this.isWhole || canonicalDigest(state) !== digest) return;
    const oldest = this.#unproven[0]?.offset ?? this.#offset;
    if (state.offset < oldest - 1) return;
    this.#keys.clear();
    state.keys.forEach((record) => this.#remember(record));
    const later = this.#unproven.filter(({ offset }) => offset > state.offset);
    this.#wholeSinceMs = undefined;
    later.forEach((record) => this.#take(record));
  }

  #take({ value }: LedgerRecord): void {
    const entry = value as KeyEntry | null;
    if (!entry || entry.type === 'snapshot') return;
    this.#remember(this.#changed(this.get(entry.key), entry));
  }

  #remember(record: KeyRecord): void {
    // Setting an existing key anew moves it to the end, which keeps the map in order of time.
    this.#keys.delete(record.key);
    this.#keys.set(record.key, record);
  }

  #forgetOld(): void {
    const oldestMs = this.#timeMs - this.#memoryMs;
    // eslint-disable-next-line no-restricted-syntax -- stops at the first young key
    for (const [key, { timeMs }] of this.#keys) {
      if (timeMs >= oldestMs) return;
      this.#keys.delete(key);
    }
  }

  #changed(record: KeyRecord, entry: Exclude<KeyEntry, { type: 'snapshot' }>): KeyRecord {
    const handlers = {
      intent: () => this.#intend(record, entry as KeyEntry & { type: 'intent' }),
      outcome: () => this.#settle(record, entry as KeyEntry & { type: 'outcome' }),
      release: () => this.#release(record, entry as KeyEntry & { type: 'release' }),
    };
    return Object.hasOwn(handlers, entry.type) ? handlers[entry.type]() : record;
  }

  #intend(record: KeyRecord, entry: KeyEntry & { type: 'intent' }): KeyRecord {
    const { attempt, digest, dispatcher } = entry;
    if (record.releasedAttempts.includes(attempt) || !chart.can(record.state, 'INTEND')) {
      return record;
    }
    const state = chart.next(record.state, 'INTEND');
    return { ...record, state, attempt, digest, dispatcher, timeMs: this.#timeMs };
  }

  #settle(record: KeyRecord, entry: KeyEntry & { type: 'outcome' }): KeyRecord {
    const event = entry.outcome === 'ran' ? 'RUN' : 'LOSE';
    if (entry.attempt !== record.attempt || !chart.can(record.state, event)) return record;
    const state = chart.next(record.state, event);
    const { status, body } = entry;
    return { ...record, state, status, body, timeMs: this.#timeMs };
  }

  #release(record: KeyRecord, { attempt }: KeyEntry & { type: 'release' }): KeyRecord {
    const released = [...record.releasedAttempts, attempt].slice(-RELEASED_COUNT_MAX);
    const kept = { ...record, releasedAttempts: released, timeMs: this.#timeMs };
    if (record.attempt !== attempt || !chart.can(record.state, 'RELEASE')) return kept;
    return { ...kept, state: chart.next(record.state, 'RELEASE') };
  }
}
