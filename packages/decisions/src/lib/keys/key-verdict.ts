/** The decision on a claim of an idempotency key. */
export type KeyVerdict =
  /** The attempt may run, once. */
  | { readonly type: 'granted' }
  /** A request has run under the key already: its answer is to be replayed. */
  | { readonly type: 'replay'; readonly status: number; readonly body: string | undefined }
  /** The key was used for a different request (another digest). */
  | { readonly type: 'reused' }
  /** Another attempt holds the key; its dispatcher can be asked how it ended. */
  | { readonly type: 'held'; readonly attempt: string; readonly dispatcher: string }
  /** Another attempt may or may not have run. */
  | { readonly type: 'unknown' }
  /** The intent was not confirmed by the log, or there are too many keys: nothing may run. */
  | { readonly type: 'unordered' }
  /**
   * Records of the partition are missing, or a generated key is unknown to this run of the
   * instance: it has expired, or another run generated it. A request may have run under the key, so
   * nothing may run now.
   */
  | { readonly type: 'expired' };
