/** A pool's answer to an instance for one workspace. */
export interface UnitsAnswer {
  /** Units that the instance may spend. */
  readonly units: number;
  /** Time until the pool can let one of the waiting requests go, in milliseconds. */
  readonly waitMs: number;
}
