import type { MembershipSettings } from './membership-settings.js';

/** Times that carry the stated target. */
export const defaultMembershipSettings: MembershipSettings = {
  periodMs: 500,
  pingTimeoutMs: 200,
  indirectCount: 3,
  suspicionMs: 4_000,
  rumorBytes: 800,
  remoteEvery: 4,
  newsMs: 250,
  reviveMs: 3_000,
};
