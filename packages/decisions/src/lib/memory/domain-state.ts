import type { EngineState } from './engine-state.js';

/** What the log knows of one failure domain. */
export interface DomainState {
  readonly engines: readonly EngineState[];
  /** Demand by instance and model, in tokens a second, with the time of the word. */
  readonly demand: Readonly<
    Record<
      string,
      { readonly timeMs: number; readonly tokensPerSecond: Readonly<Record<string, number>> }
    >
  >;
  /** Times of the latest loads, for the weight store's rate, in milliseconds. */
  readonly loadTimesMs: readonly number[];
}
