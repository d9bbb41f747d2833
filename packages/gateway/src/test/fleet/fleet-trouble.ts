/** What can go wrong in a simulated fleet. */
export const FleetTrouble = {
  /** One call in a hundred is lost, three are late. */
  fewLost: 'fewLost',
  /** Five calls in a hundred are lost, ten are late. */
  manyLost: 'manyLost',
  /** Updates arrive a second time, up to two seconds later. */
  doubled: 'doubled',
  /** Updates arrive, their answers do not. */
  unanswered: 'unanswered',
  /** The store takes up to 0.9 s each way. */
  slowStore: 'slowStore',
  /** The store does not answer. */
  silentStore: 'silentStore',
  /** The store refuses a third of the instances. */
  busyStore: 'busyStore',
  /** The log of the list has expired: only the whole list can be read. */
  compaction: 'compaction',
  /** The store does not answer for a while, and comes back from a copy. */
  storeCopy: 'storeCopy',
  /** A tenth of the instances start again. */
  restarts: 'restarts',
  /** A tenth of the instances stand still. */
  standstill: 'standstill',
  /** A third of the instances are cut off from the store and the others. */
  cut: 'cut',
  /** Entries of live endpoints lapse and come back. */
  lapses: 'lapses',
  /** Endpoints start again under their ids. */
  rebirths: 'rebirths',
} as const;

/** One of them. */
export type FleetTrouble = (typeof FleetTrouble)[keyof typeof FleetTrouble];
