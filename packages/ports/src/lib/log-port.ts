import type { LogPage } from './log-page.js';

/** Interface to the platform's log. */
export interface LogPort {
  /**
   * Appends records to a stream.
   *
   * @param stream - name of the stream
   * @param values - JSON values, one for each record
   * @returns offset of the first appended record
   * @throws any error; the records may have been appended nevertheless
   */
  append(stream: string, values: readonly unknown[]): Promise<number>;

  /**
   * Reads records of a stream in the order of their offsets.
   *
   * @param stream - name of the stream
   * @param fromOffset - offset of the first record to read
   * @param limit - maximum number of records to read
   * @returns the records, and the first and the next offset of the stream
   */
  read(stream: string, fromOffset: number, limit: number): Promise<LogPage>;
}
