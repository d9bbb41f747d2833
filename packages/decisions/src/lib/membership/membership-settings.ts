/** Times of the heartbeats. */
export interface MembershipSettings {
  /** One member is pinged in each period, in milliseconds. */
  readonly periodMs: number;
  /** Wait for an answer before others are asked to ping, in milliseconds. */
  readonly pingTimeoutMs: number;
  /** Members asked to ping one that did not answer; a count. */
  readonly indirectCount: number;
  /** Least time between suspicion and death, in milliseconds; grows with the group's logarithm. */
  readonly suspicionMs: number;
  /** Room for facts in a datagram, in bytes. */
  readonly rumorBytes: number;
  /** One ping out of this many goes to another failure domain. */
  readonly remoteEvery: number;
  /** While there is news, another member is told this often, in milliseconds. */
  readonly newsMs: number;
  /** A dead member is tried again this often, in milliseconds. */
  readonly reviveMs: number;
}
