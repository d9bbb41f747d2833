/** A request that has not been answered yet. */
export interface OpenRun {
  /** Ends the request because the process is about to exit. */
  readonly endForShutdown: () => void;
}
