import type { StreamRecord } from './stream-record.js';

/** Something to be put on the log, known by its id when it is read back. */
interface JournalEntry {
  readonly id: string;
}

interface JournalPage {
  readonly firstOffset: number;
  readonly nextOffset: number;
  readonly records: readonly StreamRecord[];
}

/** Takes records in offset order and can skip a gap by a snapshot. */
interface JournalFold {
  /** Offset of the last record taken. */
  readonly offset: number;
  /** Takes the next record. */
  apply(record: StreamRecord): void;
  /** @returns whether the fold went on from this record although earlier ones are gone */
  skipTo(record: StreamRecord, firstOffset: number): boolean;
}

interface JournalOptions {
  /** Least time between two appends, in milliseconds: the bound on the stream's rate. */
  readonly lingerMs: number;
  /** See {@link Journal.tailMs}; it may be changed later. */
  readonly tailMs: number;
  /** Most entries of one append; a count. */
  readonly batchCountMax: number;
}

type JournalAction =
  | { readonly type: 'append'; readonly values: readonly JournalEntry[] }
  | { readonly type: 'read'; readonly fromOffset: number };

/** What became of an entry: seen on the log, or not seen; one not seen may still turn up. */
interface JournalResult {
  readonly id: string;
  readonly isRecorded: boolean;
}

/**
 * Puts entries on one stream of the log and learns their order by reading them back. Entries that
 * wait share one append. Nothing is assumed from the answer of an append, or from its loss: only
 * what is read counts.
 */
export class Journal<E extends JournalEntry> {
  /** Time after which the stream is read even if nothing was appended, in milliseconds. */
  tailMs: number;
  readonly #fold: JournalFold;
  readonly #options: JournalOptions;
  #queue: E[] = [];
  readonly #pending = new Map<string, E>();
  #results: JournalResult[] = [];
  #isBusy = false;
  #mustRead = false;
  #readUpTo = 0;
  #lastAppendMs = -Infinity;
  #lastReadMs = -Infinity;
  #isDown = false;

  /**
   * @param fold - takes the records
   * @param options - rates and sizes
   */
  constructor(fold: JournalFold, options: JournalOptions) {
    this.#fold = fold;
    this.#options = options;
    this.tailMs = options.tailMs;
  }

  /** Whether the last call to the log failed. */
  get isDown(): boolean {
    return this.#isDown;
  }

  /** Entries that wait or are on their way; a count. */
  get pendingCount(): number {
    return this.#queue.length + this.#pending.size;
  }

  /** @param entry - what to put on the log */
  submit(entry: E): void {
    this.#queue.push(entry);
  }

  /**
   * Decides the next call to the log; at most one is under way.
   *
   * @param nowMs - a clock that only goes forward, in milliseconds
   * @returns the call to make, or `undefined` for none now
   */
  next(nowMs: number): JournalAction | undefined {
    if (this.#isBusy) return undefined;
    if (this.#mustRead) return this.#read(nowMs);
    const isLingering = nowMs - this.#lastAppendMs < this.#options.lingerMs;
    if (this.#queue.length > 0 && !isLingering) return this.#append(nowMs);
    if (nowMs - this.#lastReadMs >= this.tailMs) return this.#read(nowMs);
    return undefined;
  }

  /** @param firstOffset - offset of the first entry of the append that was answered */
  onAppended(firstOffset: number): void {
    this.#isBusy = false;
    this.#mustRead = true;
    this.#readUpTo = firstOffset + this.#pending.size - 1;
  }

  /** An append failed, or its answer was lost: only reading tells. */
  onAppendFailed(): void {
    this.#isBusy = false;
    this.#mustRead = true;
    this.#readUpTo = 0;
  }

  /** @param page - what was read */
  onRead(page: JournalPage): void {
    this.#isBusy = false;
    this.#isDown = false;
    page.records.forEach((record) => this.#take(record, page.firstOffset));
    const isAtEnd = this.#fold.offset >= page.nextOffset - 1 || page.records.length === 0;
    const isFar = this.#fold.offset < this.#readUpTo;
    if (!isAtEnd || (isFar && page.records.length > 0)) return;
    this.#mustRead = false;
    this.#settleAll(false);
  }

  /** A read failed: what is on its way is in doubt and is given up. */
  onReadFailed(): void {
    this.#isBusy = false;
    this.#isDown = true;
    this.#mustRead = false;
    this.#settleAll(false);
  }

  /** @returns what became of entries since the last call */
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

  #take(record: StreamRecord, firstOffset: number): void {
    if (record.offset <= this.#fold.offset) return;
    const isNext = record.offset === this.#fold.offset + 1;
    if (isNext) this.#fold.apply(record);
    else if (!this.#fold.skipTo(record, firstOffset)) return;
    const { id } = (record.value ?? {}) as { id?: string };
    if (id === undefined || !this.#pending.delete(id)) return;
    this.#results.push({ id, isRecorded: true });
  }

  #settleAll(isRecorded: boolean): void {
    this.#pending.forEach((_, id) => this.#results.push({ id, isRecorded }));
    this.#pending.clear();
  }
}
