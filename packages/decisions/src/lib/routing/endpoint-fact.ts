/** What an owner tells all instances of its endpoint; spread as a rumor on change. */
export interface EndpointFact {
  readonly endpoint: string;
  /** Instance that owns the endpoint. */
  readonly owner: string;
  /** What is resident: `model/NAME@VERSION` or `adapter/NAME`. */
  readonly residents: readonly string[];
  /** Whether the endpoint takes no new work; stays so for the endpoint's boot. */
  readonly isLeaving: boolean;
}
