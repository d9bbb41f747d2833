/** A message on a peer connection; each but `hello` and `proof` belongs to one stream. */
export type FrameMessage =
  | { readonly type: 'hello'; readonly instance: string; readonly nonce: Uint8Array }
  | { readonly type: 'proof'; readonly proof: Uint8Array }
  | { readonly type: 'open'; readonly stream: number; method: string; readonly params: unknown }
  | { readonly type: 'head'; readonly stream: number; readonly params: unknown }
  | { readonly type: 'data'; readonly stream: number; readonly data: Uint8Array }
  | { readonly type: 'credit'; readonly stream: number; readonly bytes: number }
  | { readonly type: 'end'; readonly stream: number; readonly params: unknown }
  | { readonly type: 'fail'; readonly stream: number; readonly params: unknown };
