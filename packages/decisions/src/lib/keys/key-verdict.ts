/** What a claim of a key came to. */
export type KeyVerdict =
  /** The attempt may run, once. */
  | { readonly type: 'granted' }
  /** The key has run already. */
  | { readonly type: 'replay'; readonly status: number; readonly body: string | undefined }
  /** The key belongs to another request. */
  | { readonly type: 'reused' }
  /** Another attempt holds the key; its dispatcher may know more. */
  | { readonly type: 'held'; readonly attempt: string; readonly dispatcher: string }
  /** Another attempt may have run. */
  | { readonly type: 'unknown' }
  /** The log gave no order: nothing may run. */
  | { readonly type: 'unordered' }
  /** Older keys may have been forgotten: nothing may run. */
  | { readonly type: 'expired' };
