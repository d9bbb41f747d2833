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
   * What is known of older keys is incomplete or was removed, so the key may have run: nothing may.
   */
  | { readonly type: 'expired' };
