/** The part of a quota that one pool holds. */
export interface QuotaLease {
  /** Units per second that are added to the pool. */
  readonly ratePerSecond: number;
  /** Greatest number of unspent units, in the pool and at the instances that it gave some. */
  readonly room: number;
}
