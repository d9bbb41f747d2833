/** What the quota of a workspace allows all instances together. */
export interface QuotaTerms {
  /** Units per second. */
  readonly ratePerSecond: number;
  /** Units that may be used at once after a pause, in addition. */
  readonly burst: number;
}
