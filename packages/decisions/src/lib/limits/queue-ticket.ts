/** A request that wants to run at an endpoint. */
export interface QueueTicket {
  readonly id: string;
  /** Who asks; shares are kept between callers. */
  readonly caller: string;
  /** The caller's weight against other callers; more than 0. */
  readonly share: number;
  /** 0 to 100; more goes first. */
  readonly priority: number;
  /** Time by which it must start, on the owner's clock, in milliseconds. */
  readonly startByMs: number;
}
