import type { MembershipSettings } from './membership-settings.js';

/** Default timings, with which the stated target for detecting failures is met. */
export const defaultMembershipSettings: MembershipSettings = {
  periodMs: 500,
  pingTimeoutMs: 200,
  indirectPingCount: 3,
  suspicionMs: 4_000,
  rumorBytes: 800,
  roundsPerRemotePing: 4,
  gossipIntervalMs: 250,
  deadPingIntervalMs: 3_000,
};
