/** Times of the leases of a quota, in milliseconds. */
export const quotaTimes = {
  /** Validity of a lease from when its holder asked for it. */
  leaseMs: 8_000,
  /** Validity of units that an instance got from a pool, from when it asked for them. */
  unitsMs: 2_000,
  /** Added to both by the one who gave them, since clocks drift. */
  driftMs: 200,
  /** A holder that has not asked for longer than this is not given more. */
  silentMs: 3_500,
} as const;
