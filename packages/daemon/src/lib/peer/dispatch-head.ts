import type { EndpointLoad } from '@chervilseam/decisions';

/** Status and headers of an endpoint's answer, as the owner forwards them to the entry. */
export interface DispatchHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Load of the endpoint at its owner. */
  readonly load: EndpointLoad;
}
