/** How far the use of all instances together may exceed a quota in any window. */
export interface QuotaBound {
  /** Length of the window, in milliseconds. */
  readonly windowMs: number;
  /** Fraction by which the rate and the burst may be exceeded. */
  readonly overRatio: number;
  /** Units that may be used in a window in addition. */
  readonly slackCount: number;
}
