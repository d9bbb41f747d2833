/** The end of a wait of a model's callers for a replica. */
export interface EndedWait {
  readonly model: string;
  /** Time for which callers requested the model while it had no replica, in milliseconds. */
  readonly waitedMs: number;
  /** Whether it got a replica; otherwise its callers gave up. */
  readonly isReady: boolean;
}
