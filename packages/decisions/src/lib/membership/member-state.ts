/** The states of a member in the state chart `member`. */
export const MemberState = {
  alive: 'alive',
  leaving: 'leaving',
  suspect: 'suspect',
  dead: 'dead',
  left: 'left',
} as const;

/** One of the values of {@link MemberState}. */
export type MemberState = (typeof MemberState)[keyof typeof MemberState];
