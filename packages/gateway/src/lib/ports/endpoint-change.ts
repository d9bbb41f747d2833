import type { EndpointRecord } from '@chervilseam/model';

/**
 * A change in the list of endpoints. Without a record, the endpoint counts as gone: its entry was removed
 * or is malformed.
 */
export interface EndpointChange {
  readonly id: string;
  readonly record?: EndpointRecord;
}
