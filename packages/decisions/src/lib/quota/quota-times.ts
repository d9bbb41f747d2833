const LEASE_MS = 8_000;
const UNITS_MS = 2_000;
const DRIFT_MS = 200;

/** Times of the leases of a quota, in milliseconds. */
export const quotaTimes = {
  /** Validity of a lease from when its holder asked for it. */
  leaseMs: LEASE_MS,
  /** Validity of units that an instance got from a pool, from when it asked for them. */
  unitsMs: UNITS_MS,
  /** Added to both by the one who gave them, since clocks drift. */
  driftMs: DRIFT_MS,
  /** Time from a grant until the lease and the last units that were given of it have ended. */
  grantMs: LEASE_MS + UNITS_MS + 2 * DRIFT_MS,
  /** A holder that has not asked for longer than this is not given more. */
  silentMs: 3_500,
} as const;
