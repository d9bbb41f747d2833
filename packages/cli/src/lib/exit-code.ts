/** Exit codes of the operator program. */
export const ExitCode = {
  ok: 0,
  /** The platform or an instance cannot be reached, or failed. */
  failed: 1,
  /** A file has findings; nothing was published. */
  badInput: 2,
  /** Another operator's change won; nothing was changed. */
  conflict: 3,
  /** What was asked for does not exist. */
  notFound: 4,
} as const;
