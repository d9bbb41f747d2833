/** How an attempt failed. */
export interface AttemptFailure {
  /** Whether bytes of the request may have reached the endpoint. */
  readonly wasSent: boolean;
  readonly reason: string;
}
