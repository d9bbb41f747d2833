/** A request to be admitted at an endpoint. */
export interface QueueTicket {
  readonly id: string;
  /** Name of the caller; slots are distributed fairly between callers. */
  readonly caller: string;
  /** The caller's weight relative to other callers; more than 0. */
  readonly share: number;
  /** 0 to 100; higher goes first. */
  readonly priority: number;
  /** Latest time at which it may start, by the owner's clock, in milliseconds. */
  readonly startByMs: number;
}
