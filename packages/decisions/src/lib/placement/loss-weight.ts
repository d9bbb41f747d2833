/** What a request loses, compared to one of the next higher priority, when it is served late or not at all. */
const PRIORITY_RATIO = 0.7;

/**
 * @param priority - priority of a request; 0 is served first
 * @returns what its caller loses for each token that is not served in time; 1 for the highest priority
 */
export const lossWeight = (priority: number): number => PRIORITY_RATIO ** Math.max(0, priority);
