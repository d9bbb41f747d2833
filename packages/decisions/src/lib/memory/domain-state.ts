import type { EngineState } from './engine-state.js';

/** State of one failure domain, derived from the log. */
export interface DomainState {
  readonly engines: readonly EngineState[];
  /**
   * Demand by instance and model in tokens per second, with the log time of the instance's latest
   * report.
   */
  readonly demand: Readonly<
    Record<
      string,
      { readonly timeMs: number; readonly tokensPerSecond: Readonly<Record<string, number>> }
    >
  >;
  /**
   * Log times of the latest model loads in milliseconds, which the rate limit of the weight store
   * counts.
   */
  readonly loadTimesMs: readonly number[];
}
