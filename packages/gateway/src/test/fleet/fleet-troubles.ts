/** How badly the simulated network and store treat a fleet, for the whole of a run. */
export const FleetTroubles = {
  none: 'none',
  /** One call in a hundred is lost, three are late. */
  few: 'few',
  /** Five calls in a hundred are lost, ten are late. */
  many: 'many',
} as const;

/** One of them. */
export type FleetTroubles = (typeof FleetTroubles)[keyof typeof FleetTroubles];
