/** Failure of an attempt without a complete answer. */
export interface AttemptFailure {
  /** Whether bytes of the request may have reached the endpoint. */
  readonly wasSent: boolean;
  /** Reason for the log; callers get it too when the request ends with this failure. */
  readonly reason: string;
}
