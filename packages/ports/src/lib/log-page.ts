import type { LogRecord } from './log-record.js';

/** Part of a stream of the platform's log. */
export interface LogPage {
  /** Offset of the oldest record that is still kept. */
  readonly firstOffset: number;
  /** Offset that the next record will get. */
  readonly nextOffset: number;
  readonly records: readonly LogRecord[];
}
