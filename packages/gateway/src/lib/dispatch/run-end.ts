/** Final outcome of a request, for the log and the metrics. */
export interface RunEnd {
  readonly requestId: string;
  readonly route: string;
  readonly outcome: string;
  readonly status: number;
  readonly reason: string;
}
