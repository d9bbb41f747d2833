/** Failure of an attempt without a complete answer. */
export interface AttemptFailure {
  /** Whether bytes of the request may have reached the endpoint. */
  readonly wasSent: boolean;
  /** Whether the connection ended, rather than that this instance gave the attempt up. */
  readonly isBroken: boolean;
  /** Whether no process listens at the endpoint's address. */
  readonly isRefused: boolean;
  /** Reason for the log; callers get it too when the request ends with this failure. */
  readonly reason: string;
}
