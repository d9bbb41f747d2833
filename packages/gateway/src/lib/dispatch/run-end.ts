/** How a request ended. */
export interface RunEnd {
  readonly requestId: string;
  readonly route: string;
  readonly outcome: string;
  readonly status: number;
  readonly reason: string;
}
