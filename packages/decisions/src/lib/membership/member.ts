import type { MemberState } from './member-state.js';

/** An instance as another one knows it. */
export interface Member {
  readonly name: string;
  /** IP number for heartbeats and streams. */
  readonly host: string;
  /** Port for heartbeats (UDP) and streams (TCP). */
  readonly port: number;
  readonly failureDomain: string;
  readonly region: string;
  /** Relative size of the machine. */
  readonly size: number;
  /** Unique name of this life of the instance. */
  readonly life: string;
  /** Number of this life of the instance; raised also to refute a suspicion. */
  readonly incarnation: number;
  readonly state: MemberState;
}
