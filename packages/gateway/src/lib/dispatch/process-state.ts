/** What a connection attempt shows of an endpoint's process. */
export const ProcessState = {
  /** A process listens at the endpoint's address. */
  running: 'running',
  /** None does: the process has ended. */
  ended: 'ended',
  /** There was no answer in time, or another error of the network. */
  unknown: 'unknown',
} as const;

export type ProcessState = (typeof ProcessState)[keyof typeof ProcessState];
