/** How a connection to an endpoint is ending in the current turn of the event loop. */
export const ConnectionEnding = {
  /** No connection is ending. */
  none: 'none',
  /** The endpoint closes a connection normally (FIN). */
  closed: 'closed',
  /** A connection fails with an error, such as a reset. */
  reset: 'reset',
} as const;

export type ConnectionEnding = (typeof ConnectionEnding)[keyof typeof ConnectionEnding];
