/** What a caller's request says besides its method, path and body. */
export interface CallerHead {
  /** The caller's identity of the request, for logs and to match answers. */
  readonly requestId: string;
  /** How long the caller waits, in milliseconds, when it said so. */
  readonly waitMs?: number;
  readonly model?: string;
  readonly adapter?: string;
  readonly promptTokenCount: number;
  readonly outputTokenCountMax: number;
  /** Output tokens that the caller expects; right in the middle, often far off. */
  readonly outputTokenHint?: number;
  /** Parts of the prompt in order; requests share parts. */
  readonly promptParts: readonly { readonly id: string; readonly tokenCount: number }[];
  /** Number of the last event that the caller has, when it resumes a stream. */
  readonly lastEvent?: string;
}
