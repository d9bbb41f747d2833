import { loadChart } from '../chart/load-chart.js';
import { RecoveringFold } from '../journal/recovering-fold.js';
import type { StreamRecord } from '../journal/stream-record.js';
import type { KeyEntry } from './key-entry.js';
import type { KeyRecord } from './key-record.js';

/** Number of released attempts remembered per key; beyond it the oldest is dropped. */
const RELEASED_COUNT_MAX = 16;

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
 * Records which attempt may run under each idempotency key of one partition. It is a pure function
 * of the partition's records in offset order: the first intent for a key wins, on every reader
 * alike.
 */
export class KeyLedger extends RecoveringFold<readonly KeyRecord[]> {
  protected readonly memoryMs: number;
  readonly #keys = new Map<string, KeyRecord>();

  /** @param memoryMs - how long a key is remembered, in milliseconds */
  constructor(memoryMs: number) {
    super();
    this.memoryMs = memoryMs;
  }

  /** Number of keys that are remembered. */
  get size(): number {
    return this.#keys.size;
  }

  /**
   * @param key - a key
   * @returns its record; one in state `absent` when nothing is remembered of it
   */
  get(key: string): KeyRecord {
    return this.#keys.get(key) ?? emptyRecord(key);
  }

  protected override applyRecord({ value }: StreamRecord): void {
    const entry = value as Exclude<KeyEntry, { type: 'snapshot' }> | null;
    if (entry) this.#store(this.#applyEntry(this.get(entry.key), entry));
  }

  protected override save(): readonly KeyRecord[] {
    this.#removeExpired();
    return [...this.#keys.values()];
  }

  protected override restore(state: readonly KeyRecord[]): void {
    this.#keys.clear();
    state.forEach((record) => this.#store(record));
  }

  #store(record: KeyRecord): void {
    // Deleting an existing key before it is set moves it to the end: the map stays ordered by time.
    this.#keys.delete(record.key);
    this.#keys.set(record.key, record);
  }

  #removeExpired(): void {
    const oldestMs = this.timeMs - this.memoryMs;
    // eslint-disable-next-line no-restricted-syntax -- stops at the first key that is not expired
    for (const [key, { timeMs }] of this.#keys) {
      if (timeMs >= oldestMs) return;
      this.#keys.delete(key);
    }
  }

  #applyEntry(record: KeyRecord, entry: Exclude<KeyEntry, { type: 'snapshot' }>): KeyRecord {
    const handlers = {
      intent: () => this.#applyIntent(record, entry as KeyEntry & { type: 'intent' }),
      outcome: () => this.#applyOutcome(record, entry as KeyEntry & { type: 'outcome' }),
      release: () => this.#applyRelease(record, entry as KeyEntry & { type: 'release' }),
    };
    return Object.hasOwn(handlers, entry.type) ? handlers[entry.type]() : record;
  }

  #applyIntent(record: KeyRecord, entry: KeyEntry & { type: 'intent' }): KeyRecord {
    const { attempt, digest, dispatcher } = entry;
    if (record.releasedAttempts.includes(attempt) || !chart.can(record.state, 'INTEND')) {
      return record;
    }
    const state = chart.next(record.state, 'INTEND');
    return { ...record, state, attempt, digest, dispatcher, timeMs: this.timeMs };
  }

  #applyOutcome(record: KeyRecord, entry: KeyEntry & { type: 'outcome' }): KeyRecord {
    const event = entry.outcome === 'ran' ? 'RUN' : 'LOSE';
    if (entry.attempt !== record.attempt || !chart.can(record.state, event)) return record;
    const state = chart.next(record.state, event);
    const { status, body } = entry;
    return { ...record, state, status, body, timeMs: this.timeMs };
  }

  #applyRelease(record: KeyRecord, { attempt }: KeyEntry & { type: 'release' }): KeyRecord {
    const released = [...record.releasedAttempts, attempt].slice(-RELEASED_COUNT_MAX);
    const kept = { ...record, releasedAttempts: released, timeMs: this.timeMs };
    if (record.attempt !== attempt || !chart.can(record.state, 'RELEASE')) return kept;
    return { ...kept, state: chart.next(record.state, 'RELEASE') };
  }
}
