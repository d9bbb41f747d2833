import type { EndpointRecord, ModelSpec } from '@chervilseam/model';

/**
 * @param record - an engine
 * @param model - a model
 * @returns the time to load the model there from its nearest copy, in milliseconds
 */
export function loadTimeMs(
  { hostModels, diskModels }: EndpointRecord,
  { name, hostLoadMs, diskLoadMs, storeLoadMs }: ModelSpec,
): number {
  if (hostModels.includes(name)) return hostLoadMs;
  return diskModels.includes(name) ? diskLoadMs : storeLoadMs;
}
