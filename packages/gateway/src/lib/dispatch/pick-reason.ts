/** Why no endpoint can take a request now; part of the reason that callers get. */
export const PickReason = {
  full: 'all places taken',
  prefill: 'too many prompts queued',
  memory: 'no memory at the engines',
  tried: 'every endpoint tried',
  model: 'model absent',
  adapter: 'adapter absent',
  backoff: 'every endpoint asks to retry later',
} as const;

export type PickReason = (typeof PickReason)[keyof typeof PickReason];
