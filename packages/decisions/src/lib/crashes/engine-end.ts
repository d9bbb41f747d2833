import type { SuspectRun } from './suspect-run.js';

/**
 * The end of an engine, as instances exchange it. What two instances observed of the same end can be
 * merged in any order and any number of times: runs and cleared parts are united.
 */
export interface EngineEnd {
  /** Time since the engine ended, in seconds, rounded up. */
  readonly ageS: number;
  /** Runs with a part that has not been cleared, by a key of the last part of their prompt. */
  readonly runs: Readonly<Record<string, SuspectRun>>;
  /** Parts of the runs that did not end the engine, since another answer got past its beginning on them. */
  readonly clearedParts: readonly string[];
}
