import { modelOfItem } from '@chervilseam/decisions';
import type { ConfigView, EndpointFact, RequestTarget, Rumor } from '@chervilseam/decisions';

const FACT_PREFIX = 'endpoint/';
const LEAVING_PREFIX = 'leaving/';

/** Where the facts come from. */
interface FactSource {
  get(key: string): Rumor | undefined;
}

/** Finds the endpoints that have what a request needs. */
export class Directory {
  readonly #facts: FactSource;
  readonly #view: () => ConfigView;

  /**
   * @param facts - the rumors of this instance
   * @param view - the configuration in force
   */
  constructor(facts: FactSource, view: () => ConfigView) {
    this.#facts = facts;
    this.#view = view;
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns the key of the fact that tells of it
   */
  static factKey(endpoint: string): string {
    return FACT_PREFIX + endpoint;
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns the key of the fact that it is leaving
   */
  static leavingKey(endpoint: string): string {
    return LEAVING_PREFIX + endpoint;
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns what its owner told of it
   */
  factOf(endpoint: string): EndpointFact | undefined {
    return this.#facts.get(FACT_PREFIX + endpoint)?.value as EndpointFact | undefined;
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns whether any instance has seen a sign that it is leaving
   */
  isLeaving(endpoint: string): boolean {
    return this.#facts.get(LEAVING_PREFIX + endpoint)?.value === true;
  }

  /**
   * @param target - what a request asks for
   * @returns names of the endpoints that have it and are not leaving
   */
  candidates(target: RequestTarget): string[] {
    const names: string[] = [];
    this.#view().endpoints.forEach((endpoint, name) => {
      if (this.isLeaving(name)) return;
      if (target.kind === 'service' && endpoint.service === target.service) names.push(name);
      if (target.kind === 'model' && this.#serves(name, target)) names.push(name);
    });
    return names;
  }

  #serves(endpoint: string, target: RequestTarget & { kind: 'model' }): boolean {
    const residents = this.factOf(endpoint)?.residents ?? [];
    if (!residents.some((item) => modelOfItem(item) === target.model)) return false;
    return target.adapter === undefined || residents.includes(`adapter/${target.adapter}`);
  }
}
