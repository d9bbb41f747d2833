/** What the tolerance on the rate of a quota is used for; the parts add up to 1. */
export const toleranceParts = {
  /** Added to the rate that pools hold. */
  rate: 0.4,
  /** Added to the units that may be unspent. */
  room: 0.1,
  /** Left for units that are given back. */
  refunds: 0.5,
} as const;
