/**
 * Cost of one decoding step of an engine's batch, as the number of prompt tokens that the engine reads
 * in the same time: 5 ms at 38 tokens per millisecond.
 */
const STEP_TOKENS = 200;
/** Greatest number of output tokens assumed for a request without a hint. */
const OUTPUT_TOKENS_UNHINTED = 300;

/** Sizes that a request states. */
interface RequestSize {
  /** Number of tokens of the prompt; 0 without a prompt. */
  readonly promptTokenCount: number;
  /** Largest number of output tokens. */
  readonly outputTokenCountMax: number;
  /** Number of output tokens that the caller expects. */
  readonly outputTokenHint?: number;
}

/**
 * @param size - sizes that a request states
 * @param slotCount - number of requests that an engine runs at a time and that share its steps
 * @returns the request's work, in prompt-token equivalents
 */
export function requestWork(size: RequestSize, slotCount: number): number {
  const { promptTokenCount, outputTokenCountMax, outputTokenHint } = size;
  const unhinted = Math.min(outputTokenCountMax, OUTPUT_TOKENS_UNHINTED);
  return promptTokenCount + (STEP_TOKENS / slotCount) * (outputTokenHint ?? unhinted);
}
