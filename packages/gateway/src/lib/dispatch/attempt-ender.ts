/** Who ended an attempt before its answer was complete. */
export const AttemptEnder = {
  /** The endpoint: the connection broke, or the answer is unusable. */
  endpoint: 'endpoint',
  /** The endpoint, at the deadline that it was given. */
  deadline: 'deadline',
  /** This instance. */
  instance: 'instance',
} as const;

/** Who ended an attempt before its answer was complete. */
export type AttemptEnder = (typeof AttemptEnder)[keyof typeof AttemptEnder];
