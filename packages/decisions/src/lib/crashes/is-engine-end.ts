import { isStrings } from '../is-strings.js';
import type { EngineEnd } from './engine-end.js';
import type { SuspectRun } from './suspect-run.js';

const isRun = (value: unknown): value is SuspectRun => {
  const { parts, isTest } = (value ?? {}) as Partial<SuspectRun>;
  return isStrings(parts) && typeof isTest === 'boolean';
};

/**
 * @param value - what another instance sent as the end of an engine
 * @returns whether it has the shape of one
 */
export function isEngineEnd(value: unknown): value is EngineEnd {
  const { ageS, runs, clearedParts } = (value ?? {}) as Partial<EngineEnd>;
  if (typeof ageS !== 'number' || !(ageS >= 0) || !isStrings(clearedParts)) return false;
  return typeof runs === 'object' && runs !== null && Object.values(runs).every(isRun);
}
