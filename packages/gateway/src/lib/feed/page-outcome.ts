/** What an instance did with a page of the list of endpoints that another instance sent. */
export const PageOutcome = {
  applied: 'applied',
  /** The page tells nothing that is not known here. */
  old: 'old',
  /** The page begins after the offset known here, so that changes in between would be missed. */
  gap: 'gap',
} as const;

/** One of the outcomes. */
export type PageOutcome = (typeof PageOutcome)[keyof typeof PageOutcome];
