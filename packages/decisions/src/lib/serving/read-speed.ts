/** Tokens that an engine of unknown speed reads in a millisecond: a slow one of the users' sheets. */
const DEFAULT_TOKENS_PER_MS = 25;
/** Bounds of what is believed, in tokens a millisecond. */
const TOKENS_PER_MS_MIN = 8;
const TOKENS_PER_MS_MAX = 60;
/** Shorter reads tell of the network and of the step that was under way; a count of tokens. */
const SAMPLE_TOKENS_MIN = 1_500;
/** Weight of the newest sample. */
const SAMPLE_WEIGHT = 0.2;

/** How fast an engine reads prompts, learned from the time that first events take. */
export class ReadSpeed {
  #tokensPerMs = DEFAULT_TOKENS_PER_MS;

  /**
   * Takes the time of a first event.
   *
   * @param tokenCount - tokens that were to be read up to it: those ahead in the queue and its own
   * @param elapsedMs - time until the first event, in milliseconds
   */
  took(tokenCount: number, elapsedMs: number): void {
    if (tokenCount < SAMPLE_TOKENS_MIN || elapsedMs <= 0) return;
    const seen = tokenCount / elapsedMs;
    const sample = Math.min(TOKENS_PER_MS_MAX, Math.max(TOKENS_PER_MS_MIN, seen));
    this.#tokensPerMs += SAMPLE_WEIGHT * (sample - this.#tokensPerMs);
  }

  /** @returns the time to read so many tokens, in milliseconds */
  timeMs(tokenCount: number): number {
    return tokenCount / this.#tokensPerMs;
  }
}
