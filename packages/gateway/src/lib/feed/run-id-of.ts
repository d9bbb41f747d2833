import type { EndpointRecord } from '@chervilseam/model';

/**
 * @param record - the record of an endpoint
 * @returns identity of the run of its process: an endpoint may start again under the same id
 */
export const runIdOf = ({ id, bornMs }: EndpointRecord): string => `${id}@${bornMs}`;
