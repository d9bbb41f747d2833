/** A change in the state of an endpoint, for the log. */
export interface EndpointTransition {
  readonly id: string;
  /**
   * `doubted`: the endpoint is suspected, because its entry vanished while the store was unstable,
   * or because only a copy of the store lists an endpoint that had left;
   * `refused`: its entry cannot be used.
   */
  readonly what: 'joined' | 'left' | 'draining' | 'doubted' | 'refused';
  readonly service: string;
}
