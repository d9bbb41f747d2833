/** What the headers of a caller's request state. */
export interface CallerHead {
  /** Id of the request, used in logs and to match answers to it. */
  readonly requestId: string;
  /** Time that the caller waits for the answer, in milliseconds; absent if it states none. */
  readonly waitMs?: number;
  /** SHA-256 digest of the caller's API key, in hexadecimal; absent without a key. */
  readonly keyDigest?: string;
  readonly model?: string;
  readonly adapter?: string;
  /** Whether the headers state the numbers of tokens. */
  readonly statesTokenCounts?: boolean;
  /** Number of tokens of the prompt; 0 without a prompt. */
  readonly promptTokenCount: number;
  /** Largest number of output tokens. */
  readonly outputTokenCountMax: number;
  /** Number of output tokens that the caller expects: correct in the median, often far off. */
  readonly outputTokenHint?: number;
  /** Parts of the prompt in order; different requests may have parts in common. */
  readonly promptParts: readonly { readonly id: string; readonly tokenCount: number }[];
  /** Number of the last event that the caller received, when it resumes a stream. */
  readonly lastEvent?: string;
}
