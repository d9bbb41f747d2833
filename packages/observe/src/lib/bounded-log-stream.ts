import { write, writeSync } from 'node:fs';

/** Bytes of records that may wait for a slow reader; older ones than these were written already. */
const PENDING_BYTES_MAX = 256 * 1024;

/**
 * Writes log records without ever blocking the loop: a pipe whose reader is slow would block a plain
 * write. Records that find no room are counted and dropped, and the count is logged.
 */
export class BoundedLogStream {
  readonly #descriptor: number;
  #pending: string[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #droppedCount = 0;

  /** @param descriptor - file descriptor to write to */
  constructor(descriptor: number) {
    this.#descriptor = descriptor;
  }

  /**
   * @param record - one record with its line end
   * @returns always true: the writer never has to wait
   */
  write(record: string | Uint8Array): boolean {
    const line = String(record);
    if (this.#pendingBytes + line.length > PENDING_BYTES_MAX) {
      this.#droppedCount += 1;
      return true;
    }
    this.#pending.push(line);
    this.#pendingBytes += line.length;
    if (!this.#isWriting) setImmediate(() => this.#flush());
    this.#isWriting = true;
    return true;
  }

  /** Writes what is left, before the process ends. */
  end(): void {
    try {
      // The last records must be out before the process ends.
      // eslint-disable-next-line n/no-sync
      writeSync(this.#descriptor, this.#take());
    } catch {
      // The reader has gone; nobody is left to be told.
    }
  }

  #flush(): void {
    const text = this.#take();
    if (text === '') {
      this.#isWriting = false;
      return;
    }
    this.#writeAll(Buffer.from(text));
  }

  #writeAll(data: Buffer): void {
    write(this.#descriptor, data, (error, writtenBytes) => {
      const rest = error ? data.subarray(data.length) : data.subarray(writtenBytes);
      if (rest.length > 0) this.#writeAll(rest);
      else this.#flush();
    });
  }

  #take(): string {
    if (this.#droppedCount > 0) {
      const msg = `[log] dropped ${this.#droppedCount} records: the reader is too slow`;
      const record = { event: 'log_dropped', count: this.#droppedCount, msg };
      this.#pending.push(`${JSON.stringify(record)}\n`);
      this.#droppedCount = 0;
    }
    const text = this.#pending.join('');
    this.#pending = [];
    this.#pendingBytes = 0;
    return text;
  }
}
