import type { EndpointRecord, ModelSpec } from '@chervilseam/model';

/**
 * @param record - the record of an engine
 * @param model - a model
 * @returns the time to load the model on the engine from the fastest copy that the engine can reach
 *   (host memory, then disk, then the weight store), in milliseconds
 */
export function loadTimeMs(
  { hostModels, diskModels }: EndpointRecord,
  { name, hostLoadMs, diskLoadMs, storeLoadMs }: ModelSpec,
): number {
  if (hostModels.includes(name)) return hostLoadMs;
  return diskModels.includes(name) ? diskLoadMs : storeLoadMs;
}
