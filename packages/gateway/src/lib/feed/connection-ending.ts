/** What is happening to the connections of an endpoint in this very turn of the loop. */
export const ConnectionEnding = {
  none: 'none',
  /** The endpoint closes one in good order. */
  closed: 'closed',
  /** One breaks. */
  reset: 'reset',
} as const;

export type ConnectionEnding = (typeof ConnectionEnding)[keyof typeof ConnectionEnding];
