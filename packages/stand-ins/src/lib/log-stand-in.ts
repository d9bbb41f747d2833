import { setTimeout as sleep } from 'node:timers/promises';
import { HttpStandIn } from './http-stand-in.js';

/** Maximum number of records in the answer to one read. */
const READ_COUNT_MAX = 1_000;

interface StoredRecord {
  readonly offset: number;
  /** Wall-clock time of the append, in milliseconds. */
  readonly timeMs: number;
  readonly value: unknown;
}

interface StoredStream {
  /** Offset of the oldest record that is kept; `nextOffset` when there is none. */
  firstOffset: number;
  /** Offset that the next record gets. */
  nextOffset: number;
  records: StoredRecord[];
}

/** Faults that tests inject; each may be set at any time. */
interface LogFaults {
  /** Closes the connection of every call without an answer and without effect. */
  isDown: boolean;
  /** Delay before each call takes effect and is answered, in milliseconds. */
  delayMs: number;
  /** Number of next appends that are stored but not answered: the connection is closed instead. */
  lostAnswerCount: number;
  /** Number of next appends whose records are stored twice. */
  doubledAppendCount: number;
}

interface LogOptions {
  /** Time for which records are kept, in milliseconds; unlimited by default. */
  readonly retentionMs?: number;
  /** Maximum number of append calls in one second; more are refused with status 429. 300 by default. */
  readonly appendsPerSecond?: number;
}

/** Stands in for the platform's append-only log: streams of records with offsets from 1. */
export class LogStandIn extends HttpStandIn {
  readonly faults: LogFaults = {
    isDown: false,
    delayMs: 0,
    lostAnswerCount: 0,
    doubledAppendCount: 0,
  };

  /** Number of appends, appended records, reads and refused calls since the start. */
  readonly counts = { appends: 0, records: 0, reads: 0, refused: 0 };
  readonly #streams = new Map<string, StoredStream>();
  readonly #retentionMs: number;
  readonly #appendsPerSecond: number;
  /** Start of the current second of the rate limit, on the wall clock in milliseconds. */
  #windowStartMs = 0;
  #windowAppends = 0;

  /** @param options - retention and rate limit */
  constructor(options: LogOptions = {}) {
    super();
    this.#retentionMs = options.retentionMs ?? Infinity;
    this.#appendsPerSecond = options.appendsPerSecond ?? 300;
    this.route('POST', '/log/:stream', async ({ request, response, params }) => {
      const { records } = await HttpStandIn.readJson<{ records: unknown[] }>(request);
      await this.#handleUnlessDown(response, () =>
        this.#append(response, params.stream ?? '', records),
      );
    });
    this.route('GET', '/log/:stream', async ({ response, params, query }) => {
      await this.#handleUnlessDown(response, () =>
        this.#read(response, params.stream ?? '', Number(query.from), Number(query.limit)),
      );
    });
  }

  /**
   * Reads a stream directly, for tests.
   *
   * @param name - the stream
   * @returns the records that are kept, oldest first
   */
  peek(name: string): readonly StoredRecord[] {
    return this.#stream(name).records;
  }

  /**
   * Drops the oldest records, as the end of their retention does.
   *
   * @param name - the stream
   * @param firstOffset - first offset that is kept
   */
  dropBefore(name: string, firstOffset: number): void {
    const stream = this.#stream(name);
    stream.records = stream.records.filter(({ offset }) => offset >= firstOffset);
    stream.firstOffset = Math.max(stream.firstOffset, firstOffset);
  }

  /**
   * Drops the newest records, as happens to a log that is restored from an old backup.
   *
   * @param name - the stream
   * @param lastOffset - last offset that is kept
   */
  dropAfter(name: string, lastOffset: number): void {
    const stream = this.#stream(name);
    stream.records = stream.records.filter(({ offset }) => offset <= lastOffset);
    stream.nextOffset = lastOffset + 1;
  }

  async #handleUnlessDown(
    response: Parameters<typeof HttpStandIn.reply>[0],
    action: () => void,
  ): Promise<void> {
    if (this.faults.isDown) {
      this.counts.refused += 1;
      response.destroy();
      return;
    }
    if (this.faults.delayMs > 0) await sleep(this.faults.delayMs);
    action();
  }

  #append(
    response: Parameters<typeof HttpStandIn.reply>[0],
    name: string,
    values: unknown[],
  ): void {
    if (!this.#countAppend()) {
      this.counts.refused += 1;
      HttpStandIn.reply(response, 429, { error: 'too many appends' });
      return;
    }
    const stream = this.#stream(name);
    const firstOffset = stream.nextOffset;
    this.#store(stream, values);
    if (this.faults.doubledAppendCount > 0) {
      this.faults.doubledAppendCount -= 1;
      this.#store(stream, values);
    }
    this.#expire(name, stream);
    if (this.faults.lostAnswerCount > 0) {
      this.faults.lostAnswerCount -= 1;
      response.destroy();
      return;
    }
    HttpStandIn.reply(response, 200, { firstOffset });
  }

  #store(stream: StoredStream, values: unknown[]): void {
    this.counts.appends += 1;
    this.counts.records += values.length;
    values.forEach((value) => {
      stream.records.push({ offset: stream.nextOffset, timeMs: Date.now(), value });
      // The stream is the stand-in's own state.
      // eslint-disable-next-line no-param-reassign
      stream.nextOffset += 1;
    });
  }

  #read(
    response: Parameters<typeof HttpStandIn.reply>[0],
    name: string,
    from: number,
    limit: number,
  ): void {
    this.counts.reads += 1;
    const stream = this.#stream(name);
    this.#expire(name, stream);
    const { firstOffset, nextOffset } = stream;
    const start = Math.max(0, from - firstOffset);
    const records = stream.records.slice(start, start + Math.min(limit, READ_COUNT_MAX));
    HttpStandIn.reply(response, 200, { firstOffset, nextOffset, records });
  }

  #stream(name: string): StoredStream {
    const existing = this.#streams.get(name);
    if (existing) return existing;
    const stream = { firstOffset: 1, nextOffset: 1, records: [] };
    this.#streams.set(name, stream);
    return stream;
  }

  #expire(name: string, stream: StoredStream): void {
    const oldestMs = Date.now() - this.#retentionMs;
    const firstKept = stream.records.find(({ timeMs }) => timeMs >= oldestMs);
    if (this.#retentionMs < Infinity) this.dropBefore(name, firstKept?.offset ?? stream.nextOffset);
  }

  /** Counts an append against the rate limit and returns whether it is within it. */
  #countAppend(): boolean {
    const nowMs = Date.now();
    if (nowMs - this.#windowStartMs >= 1_000) {
      this.#windowStartMs = nowMs;
      this.#windowAppends = 0;
    }
    this.#windowAppends += 1;
    return this.#windowAppends <= this.#appendsPerSecond;
  }
}
