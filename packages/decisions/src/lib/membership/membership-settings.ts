/** Timings of the heartbeats and of the rumors sent with them. */
export interface MembershipSettings {
  /** Length of a heartbeat round, in which one member is pinged, in milliseconds. */
  readonly periodMs: number;
  /** Wait for an ack before other members are asked to ping the target, in milliseconds. */
  readonly pingTimeoutMs: number;
  /** Number of members that are asked to ping a member that did not answer. */
  readonly indirectPingCount: number;
  /**
   * Minimum time from `suspect` to `dead`, in milliseconds. For groups of more than 10 members it
   * is multiplied by the decimal logarithm of the group's size.
   */
  readonly suspicionMs: number;
  /**
   * Space for the rumors being spread in one datagram, in bytes. Those about the sender and the
   * target are sent in addition.
   */
  readonly rumorBytes: number;
  /** Every this many rounds, the ping goes to a member of another failure domain. */
  readonly roundsPerRemotePing: number;
  /** Interval of additional pings while rumors are being spread, in milliseconds. */
  readonly gossipIntervalMs: number;
  /**
   * Interval of the pings to members in state `dead` or `left`, which may be back, in milliseconds.
   */
  readonly deadPingIntervalMs: number;
}
