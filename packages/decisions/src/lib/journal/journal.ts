import type { StreamRecord } from './stream-record.js';

/** An entry to append to the log; it is recognized by its id when it is read back. */
interface JournalEntry {
  readonly id: string;
}

/** The result of one read. */
interface JournalPage {
  /** Oldest offset that the log keeps. */
  readonly firstOffset: number;
  /** Offset that the next appended record will get. */
  readonly nextOffset: number;
  readonly records: readonly StreamRecord[];
}

/** Applies records in offset order and can continue after a gap of expired records. */
interface JournalFold {
  /** Offset of the last record applied. */
  readonly offset: number;
  /** Applies the next record. */
  apply(record: StreamRecord): void;
  /** @returns whether the fold continued with this record although earlier ones have expired */
  skipTo(record: StreamRecord, firstOffset: number): boolean;
}

interface JournalOptions {
  /**
   * Minimum time between two appends, in milliseconds; limits the rate of appends to the stream.
   */
  readonly lingerMs: number;
  /** Initial value of {@link Journal.idleReadIntervalMs}. */
  readonly idleReadIntervalMs: number;
  /** Maximum number of entries in one append. */
  readonly batchCountMax: number;
}

/** A call to the log that the user of the journal has to make. */
type JournalAction =
  | { readonly type: 'append'; readonly values: readonly JournalEntry[] }
  | { readonly type: 'read'; readonly fromOffset: number };

/** What is known of an entry after the read that follows its append. */
interface JournalResult {
  readonly id: string;
  /** Whether the entry was read back. When `false`, it may still be appended later. */
  readonly isRecorded: boolean;
}

/**
 * Appends entries to one stream of the log and reads them back to learn their order. Queued entries
 * are appended as one batch. Neither a successful nor a failed append counts as a result: an entry
 * is recorded only when it has been read back.
 */
export class Journal<E extends JournalEntry> {
  /** Interval of reads while nothing is appended, in milliseconds. */
  idleReadIntervalMs: number;
  readonly #fold: JournalFold;
  readonly #options: JournalOptions;
  #queue: E[] = [];
  readonly #pending = new Map<string, E>();
  #results: JournalResult[] = [];
  #isBusy = false;
  /**
   * Whether to read without waiting for the idle interval: set by an append, until the reads have
   * reached its end.
   */
  #mustRead = false;
  /** Offset of the last entry of the latest append; 0 when the append failed. */
  #appendEndOffset = 0;
  #lastAppendMs = -Infinity;
  #lastReadMs = -Infinity;
  #isDown = false;

  /**
   * @param fold - the state to which the records are applied
   * @param options - rates and sizes
   */
  constructor(fold: JournalFold, options: JournalOptions) {
    this.#fold = fold;
    this.#options = options;
    this.idleReadIntervalMs = options.idleReadIntervalMs;
  }

  /** Whether the last call to the log failed. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /** Number of entries that are queued, or appended and not yet read back. */
  get pendingCount(): number {
    return this.#queue.length + this.#pending.size;
  }

  /** @param entry - the entry to append */
  submit(entry: E): void {
    this.#queue.push(entry);
  }

  /**
   * Decides on the next call to the log. At most one call is in progress at a time.
   *
   * @param nowMs - monotonic clock, in milliseconds
   * @returns the call to make, or `undefined` when none is due
   */
  next(nowMs: number): JournalAction | undefined {
    if (this.#isBusy) return undefined;
    if (this.#mustRead) return this.#read(nowMs);
    const isLingering = nowMs - this.#lastAppendMs < this.#options.lingerMs;
    if (this.#queue.length > 0 && !isLingering) return this.#append(nowMs);
    if (nowMs - this.#lastReadMs >= this.idleReadIntervalMs) return this.#read(nowMs);
    return undefined;
  }

  /**
   * The append succeeded.
   *
   * @param firstOffset - offset of the first entry of the append
   */
  onAppended(firstOffset: number): void {
    this.#isBusy = false;
    this.#mustRead = true;
    this.#appendEndOffset = firstOffset + this.#pending.size - 1;
  }

  /** The append failed or its answer was lost. The next read shows whether it took effect. */
  onAppendFailed(): void {
    this.#isBusy = false;
    this.#mustRead = true;
    this.#appendEndOffset = 0;
  }

  /**
   * The read succeeded.
   *
   * @param page - the records that were read
   */
  onRead(page: JournalPage): void {
    this.#isBusy = false;
    this.#isDown = false;
    page.records.forEach((record) => this.#applyRecord(record, page.firstOffset));
    // The reads after an append go on until both the log and the append have been read to their
    // ends, or a page is empty. Entries not read back by then are reported as not recorded.
    const isAtEnd = this.#fold.offset >= page.nextOffset - 1 || page.records.length === 0;
    const isBehindAppend = this.#fold.offset < this.#appendEndOffset;
    if (!isAtEnd || (isBehindAppend && page.records.length > 0)) return;
    this.#mustRead = false;
    this.#resolvePending(false);
  }

  /** The read failed: all unconfirmed entries are reported as not recorded. */
  onReadFailed(): void {
    this.#isBusy = false;
    this.#isDown = true;
    this.#mustRead = false;
    this.#resolvePending(false);
  }

  /** @returns the results of entries since the last call */
  takeResults(): JournalResult[] {
    const results = this.#results;
    this.#results = [];
    return results;
  }

  #append(nowMs: number): JournalAction {
    this.#isBusy = true;
    this.#lastAppendMs = nowMs;
    const values = this.#queue.splice(0, this.#options.batchCountMax);
    values.forEach((entry) => this.#pending.set(entry.id, entry));
    return { type: 'append', values };
  }

  #read(nowMs: number): JournalAction {
    this.#isBusy = true;
    this.#lastReadMs = nowMs;
    return { type: 'read', fromOffset: this.#fold.offset + 1 };
  }

  #applyRecord(record: StreamRecord, firstOffset: number): void {
    if (record.offset <= this.#fold.offset) return;
    const isNext = record.offset === this.#fold.offset + 1;
    if (isNext) this.#fold.apply(record);
    else if (!this.#fold.skipTo(record, firstOffset)) return;
    const { id } = (record.value ?? {}) as { id?: string };
    if (id === undefined || !this.#pending.delete(id)) return;
    this.#results.push({ id, isRecorded: true });
  }

  #resolvePending(isRecorded: boolean): void {
    this.#pending.forEach((_, id) => this.#results.push({ id, isRecorded }));
    this.#pending.clear();
  }
}
