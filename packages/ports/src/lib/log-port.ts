import type { LogPage } from './log-page.js';

/** What the system asks of the platform's log; another bench can stand behind it. */
export interface LogPort {
  /**
   * Appends records in one call.
   *
   * @param stream - name of the stream
   * @param values - values of JSON's kinds
   * @returns offset of the first record
   * @throws any error; the records may have been appended all the same
   */
  append(stream: string, values: readonly unknown[]): Promise<number>;

  /**
   * Reads records.
   *
   * @param stream - name of the stream
   * @param fromOffset - first offset wanted
   * @param limit - most records to return
   * @returns the records from there on, with the ends of the stream
   */
  read(stream: string, fromOffset: number, limit: number): Promise<LogPage>;
}
