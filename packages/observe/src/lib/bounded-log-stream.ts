import { write, writeSync } from 'node:fs';

/** Maximum total length of the records that wait while older ones are being written, in characters. */
const PENDING_LENGTH_MAX = 256 * 1024;

/**
 * Writes log records asynchronously, since a synchronous write to a pipe with a slow reader would block
 * the event loop. Records beyond a limit are dropped, and their number is logged.
 */
export class BoundedLogStream {
  readonly #descriptor: number;
  #pending: string[] = [];
  #pendingLength = 0;
  #isWriting = false;
  #droppedCount = 0;

  /** @param descriptor - file descriptor to write to */
  constructor(descriptor: number) {
    this.#descriptor = descriptor;
  }

  /**
   * @param record - one record with its line break
   * @returns always `true`: the caller never has to wait
   */
  write(record: string | Uint8Array): boolean {
    const line = String(record);
    if (this.#pendingLength + line.length > PENDING_LENGTH_MAX) {
      this.#droppedCount += 1;
      return true;
    }
    this.#pending.push(line);
    this.#pendingLength += line.length;
    if (!this.#isWriting) setImmediate(() => this.#flush());
    this.#isWriting = true;
    return true;
  }

  /** Writes the waiting records synchronously; to be called right before the process exits. */
  end(): void {
    try {
      // An asynchronous write might not complete before the process exits.
      // eslint-disable-next-line n/no-sync
      writeSync(this.#descriptor, this.#takePending());
    } catch {
      // A failure to write the log cannot be logged either.
    }
  }

  #flush(): void {
    const text = this.#takePending();
    if (text === '') {
      this.#isWriting = false;
      return;
    }
    this.#writeAll(Buffer.from(text));
  }

  #writeAll(data: Buffer): void {
    write(this.#descriptor, data, (error, writtenBytes) => {
      // Data that cannot be written is dropped.
      const rest = error ? data.subarray(data.length) : data.subarray(writtenBytes);
      if (rest.length > 0) this.#writeAll(rest);
      else this.#flush();
    });
  }

  #takePending(): string {
    if (this.#droppedCount > 0) {
      const msg = `[log] dropped ${this.#droppedCount} records: the reader is too slow`;
      const record = { event: 'log_dropped', count: this.#droppedCount, msg };
      this.#pending.push(`${JSON.stringify(record)}\n`);
      this.#droppedCount = 0;
    }
    const text = this.#pending.join('');
    this.#pending = [];
    this.#pendingLength = 0;
    return text;
  }
}
