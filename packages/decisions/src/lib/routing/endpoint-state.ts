/** What the owner of an endpoint publishes about it to all instances; sent as a rumor on change. */
export interface EndpointState {
  readonly endpoint: string;
  /** Name of the instance that owns the endpoint. */
  readonly owner: string;
  /** Models and adapters loaded at the endpoint: `model/NAME@VERSION` or `adapter/NAME`. */
  readonly residents: readonly string[];
  /**
   * Whether the endpoint accepts no new work; this never reverts in the same run of the endpoint.
   */
  readonly isLeaving: boolean;
}
