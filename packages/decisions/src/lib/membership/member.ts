import type { MemberState } from './member-state.js';

/** An instance, as recorded by another instance of the group. */
export interface Member {
  readonly name: string;
  /** IP address for heartbeats and streams. */
  readonly host: string;
  /** Port for heartbeats (UDP) and streams (TCP). */
  readonly port: number;
  readonly failureDomain: string;
  readonly region: string;
  /** Size of the machine relative to the others; without a unit. */
  readonly size: number;
  /**
   * Unique id of this run (start to exit) of the instance; empty while the instance is known only
   * from the platform's list.
   */
  readonly life: string;
  /**
   * Version of what the instance publishes about itself: first its clock at start, in milliseconds
   * since the epoch; then raised by the instance to refute a suspicion.
   */
  readonly incarnation: number;
  readonly state: MemberState;
}
