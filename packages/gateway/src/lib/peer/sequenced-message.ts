/** What orders the messages of one instance, over its processes. */
export interface SequencedMessage {
  /** Wall-clock time at which the process that sent it started, in milliseconds. */
  readonly startedMs: number;
  /** Number of the message, increasing from the start of the process. */
  readonly sequence: number;
}
