/** Units that an admitted request was charged. */
export interface QuotaCharge {
  readonly workspace: string;
  readonly units: number;
  /** When it was admitted, by the monotonic clock, in milliseconds. */
  readonly admittedMs: number;
}
