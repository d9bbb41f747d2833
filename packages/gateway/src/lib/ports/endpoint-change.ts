import type { EndpointRecord } from '@chervilseam/model';

/** A change in the list of endpoints; without a record, the endpoint has left. */
export interface EndpointChange {
  readonly id: string;
  readonly record?: EndpointRecord;
}
