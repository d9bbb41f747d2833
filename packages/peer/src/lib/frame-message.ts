/**
 * A message on a connection between two instances. `hello` and `proof` belong to the handshake, all
 * others to one stream:
 *
 * - `open` opens the stream and names the method that handles it.
 * - `head` is the head of an answer, and `data` carries a part of the body.
 * - `credit` acknowledges received bytes, so that the sender may send as many more.
 * - `end` ends the sender's side of the stream normally; `fail` ends both sides at once.
 */
export type FrameMessage =
  | { readonly type: 'hello'; readonly instance: string; readonly nonce: Uint8Array }
  | { readonly type: 'proof'; readonly proof: Uint8Array }
  | { readonly type: 'open'; readonly stream: number; method: string; readonly params: unknown }
  | { readonly type: 'head'; readonly stream: number; readonly params: unknown }
  | { readonly type: 'data'; readonly stream: number; readonly data: Uint8Array }
  | { readonly type: 'credit'; readonly stream: number; readonly bytes: number }
  | { readonly type: 'end'; readonly stream: number; readonly params: unknown }
  | { readonly type: 'fail'; readonly stream: number; readonly params: unknown };
