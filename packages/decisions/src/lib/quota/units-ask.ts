/** What an instance asks of its pool for one workspace. */
export interface UnitsAsk {
  /** Units that its callers asked for since its last call. */
  readonly asked: number;
  /** Unspent units that it has. */
  readonly held: number;
  /** Units of the requests that wait for the answer; spent as it arrives if they are covered. */
  readonly waiting: number;
  /** Least number of units that lets one of these requests go, in addition to those held; 0 without any. */
  readonly needed: number;
  /** Units that it would have left then, for the next requests. */
  readonly stock: number;
  /** Units of the largest recent request. */
  readonly largest: number;
}
