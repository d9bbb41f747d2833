import type { LogRecord } from './log-record.js';

/** Records read from a stream of the platform's log. */
export interface LogPage {
  /** Offset of the oldest record that the log still retains. */
  readonly firstOffset: number;
  /** Offset that the next appended record will get. */
  readonly nextOffset: number;
  readonly records: readonly LogRecord[];
}
