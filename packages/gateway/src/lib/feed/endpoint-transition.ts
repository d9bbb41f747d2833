/** A change in the state of an endpoint, for the log. */
export interface EndpointTransition {
  readonly id: string;
  /** `doubted`: the endpoint is suspected, because its entry vanished while the store was unstable. */
  readonly what: 'joined' | 'left' | 'draining' | 'doubted';
  readonly service: string;
}
