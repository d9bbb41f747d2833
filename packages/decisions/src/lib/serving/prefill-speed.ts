/**
 * Assumed prefill speed of an engine without samples, in tokens per millisecond: that of a slow
 * engine on the users' data sheets.
 */
const DEFAULT_TOKENS_PER_MS = 25;
/** Bounds that samples are clamped to, in tokens per millisecond. */
const TOKENS_PER_MS_MIN = 8;
const TOKENS_PER_MS_MAX = 60;
/**
 * Least number of tokens of a sample: the time of a shorter prefill is dominated by the network and
 * the engine step in progress.
 */
const SAMPLE_TOKENS_MIN = 1_500;
/** Weight of the newest sample in the moving average. */
const SAMPLE_WEIGHT = 0.2;

/**
 * Prefill speed of an engine (how fast it processes prompts), estimated from the time to the first
 * event.
 */
export class PrefillSpeed {
  #tokensPerMs = DEFAULT_TOKENS_PER_MS;

  /**
   * Records the time to a first event.
   *
   * @param tokenCount - number of prompt tokens processed before the event: those ahead in the
   *   queue and the request's own
   * @param elapsedMs - time from sending the request to the first event, in milliseconds
   */
  record(tokenCount: number, elapsedMs: number): void {
    if (tokenCount < SAMPLE_TOKENS_MIN || elapsedMs <= 0) return;
    const measured = tokenCount / elapsedMs;
    const sample = Math.min(TOKENS_PER_MS_MAX, Math.max(TOKENS_PER_MS_MIN, measured));
    this.#tokensPerMs += SAMPLE_WEIGHT * (sample - this.#tokensPerMs);
  }

  /** @returns expected time to process a number of prompt tokens, in milliseconds */
  prefillMs(tokenCount: number): number {
    return tokenCount / this.#tokensPerMs;
  }
}
