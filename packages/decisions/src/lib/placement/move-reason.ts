/** Why a replica is added; the values are shown to operators. */
export const MoveReason = {
  reach: 'no replica can be reached',
  capacity: 'more is wanted than its engines make',
  forecast: 'more is expected than its engines make',
} as const;

export type MoveReason = (typeof MoveReason)[keyof typeof MoveReason];
