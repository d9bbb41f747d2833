/** State of a run of an endpoint's process. */
export const ProcessState = {
  /** The process is still running. */
  running: 'running',
  /** The process has ended: nothing listens at its address, or a process that started later. */
  ended: 'ended',
  /** No answer in time, another network error, or a process that doesn't report its start time. */
  unknown: 'unknown',
} as const;

export type ProcessState = (typeof ProcessState)[keyof typeof ProcessState];
