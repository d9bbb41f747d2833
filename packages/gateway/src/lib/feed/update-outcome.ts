/** What an instance did with an update of the list of endpoints that another instance sent. */
export const UpdateOutcome = {
  applied: 'applied',
  /** The update has no changes: the list known here was current when its sender read it. */
  current: 'current',
  /** The update is older than what is known here. */
  old: 'old',
  /** The update does not cover all changes since the offset known here. */
  gap: 'gap',
} as const;

/** One of the outcomes. */
export type UpdateOutcome = (typeof UpdateOutcome)[keyof typeof UpdateOutcome];
