/**
 * Time from the arrival of a request for a model that no engine holds, or from the decision on a load, until the load
 * begins, in milliseconds.
 */
export const LOAD_START_MS = 700;
