/** Exit codes of the command-line tool. */
export const ExitCode = {
  ok: 0,
  /** The command failed, for example because the log or an instance cannot be reached. */
  failed: 1,
  /** An argument, a file or the resulting configuration is invalid; nothing was changed. */
  badInput: 2,
  /** Another operator changed one of the objects first; nothing was changed. */
  conflict: 3,
  /** No such object or record exists. */
  notFound: 4,
} as const;
