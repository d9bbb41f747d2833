import type { EndpointRecord } from '@chervilseam/model';

/**
 * @param record - an engine's entry in the list of endpoints
 * @param model - a model
 * @returns whether the engine has no copy of the model's weights at hand and loads them from the weight store
 */
export const isFromStore = ({ hostModels, diskModels }: EndpointRecord, model: string): boolean =>
  !hostModels.includes(model) && !diskModels.includes(model);
