/** An owner of shares that could plan placement. */
interface PlannerCandidate {
  /** Speed of its processor as a share of a core; 0 if not known. */
  readonly processorShare: number;
  /** Shares that it owns; at least one. */
  readonly shares: readonly number[];
}

/**
 * One owner of shares plans for all instances, since two planners would both react to the same demand: the one
 * with the fastest processor, whose callers planning holds up least, and of several the one with the lowest
 * share.
 *
 * @param self - this instance
 * @param others - the other owners
 * @returns whether this instance plans
 */
export function isPlanner(self: PlannerCandidate, others: readonly PlannerCandidate[]): boolean {
  const lowest = Math.min(...self.shares);
  return others.every(({ processorShare, shares }) =>
    processorShare === self.processorShare
      ? Math.min(...shares) > lowest
      : processorShare < self.processorShare,
  );
}
