import type { EndpointLoad } from '@chervilseam/decisions';

/** Head of an endpoint's answer, as the owner sends it on. */
export interface DispatchHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly load: EndpointLoad;
}
