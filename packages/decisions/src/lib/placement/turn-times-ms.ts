import { LOAD_START_MS } from './load-start-ms.js';

/** Models that wait for their turn. */
interface TurnQueue {
  /** Time to load each of them, in the order in which they come, in milliseconds. */
  readonly loadsMs: readonly number[];
  /** Time until each load of models in turn that is in progress is done, in milliseconds. */
  readonly remainingMs: readonly number[];
  /** Number of such loads at a time; at least 1. */
  readonly countMax: number;
}

/**
 * Estimates when models that wait for a turn can serve. Each begins when a load before it is done.
 *
 * @param queue - the models, and the loads in progress
 * @returns time until each of them can serve, in their order, in milliseconds
 */
export function turnTimesMs({ loadsMs, remainingMs, countMax }: TurnQueue): number[] {
  const longest = [...remainingMs].sort((left, right) => right - left).slice(0, countMax);
  const idle = new Array<number>(countMax - longest.length).fill(0);
  const freeMs = [...longest, ...idle];
  return loadsMs.map((loadMs) => {
    const next = freeMs.indexOf(Math.min(...freeMs));
    freeMs[next] += LOAD_START_MS + loadMs;
    return freeMs[next];
  });
}
