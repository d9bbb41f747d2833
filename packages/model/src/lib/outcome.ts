/** Whether a request took effect at an endpoint, as far as known. */
export const Outcome = {
  /** The endpoint ran the request: its complete answer was received. */
  ran: 'ran',
  /** Guaranteed: no endpoint ran any part of the request. */
  notRun: 'not-run',
  /** Bytes may have reached an endpoint, but no complete answer was received. */
  unknown: 'unknown',
} as const;

/** One of the values of {@link Outcome}. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];
