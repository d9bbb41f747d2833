import type { EndpointRecord } from '@chervilseam/model';

/**
 * @param id - id of the endpoint
 * @returns the record of an endpoint that holds nothing
 */
export const endpointRecordOf = (id: string): EndpointRecord => ({
  id,
  service: 'assistant',
  host: '127.0.0.1',
  port: 1,
  failureDomain: 'a',
  slotCount: 8,
  isDraining: false,
  bornMs: 1,
  models: [],
  hostModels: [],
  diskModels: [],
});
