/** What is known about whether a request took effect at an endpoint. */
export const Outcome = {
  /** The endpoint answered in whole. */
  ran: 'ran',
  /** A promise that no endpoint ran any part of the request. */
  notRun: 'not-run',
  /** Bytes may have reached an endpoint, and no whole answer came back. */
  unknown: 'unknown',
} as const;

/** One of the values of {@link Outcome}. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];
