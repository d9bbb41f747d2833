import { modelOfItem } from '@chervilseam/decisions';
import type { ConfigView, EndpointState, RequestTarget, Rumor } from '@chervilseam/decisions';

const ENDPOINT_PREFIX = 'endpoint/';
const LEAVING_PREFIX = 'leaving/';

/** Provides the rumors that this instance has received. */
interface RumorSource {
  get(key: string): Rumor | undefined;
}

/** Finds the endpoints that can serve a request, from the configuration and the owners' reports. */
export class EndpointDirectory {
  readonly #rumors: RumorSource;
  readonly #view: () => ConfigView;

  /**
   * @param rumors - the rumors that this instance has received
   * @param view - returns the configuration in force
   */
  constructor(rumors: RumorSource, view: () => ConfigView) {
    this.#rumors = rumors;
    this.#view = view;
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns key of the rumor with the endpoint's state
   */
  static stateKey(endpoint: string): string {
    return ENDPOINT_PREFIX + endpoint;
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns key of the rumor that the endpoint is leaving
   */
  static leavingKey(endpoint: string): string {
    return LEAVING_PREFIX + endpoint;
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns the state that its owner reported, or `undefined` if none was received
   */
  stateOf(endpoint: string): EndpointState | undefined {
    return this.#rumors.get(ENDPOINT_PREFIX + endpoint)?.value as EndpointState | undefined;
  }

  /**
   * @param endpoint - name of an endpoint
   * @returns whether any instance has announced that the endpoint is leaving, which means that it
   *   accepts no new work
   */
  isLeaving(endpoint: string): boolean {
    return this.#rumors.get(LEAVING_PREFIX + endpoint)?.value === true;
  }

  /**
   * @param target - the model or service that is requested
   * @returns names of the endpoints that can serve it and are not leaving
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
    const residents = this.stateOf(endpoint)?.residents ?? [];
    if (!residents.some((item) => modelOfItem(item) === target.model)) return false;
    return target.adapter === undefined || residents.includes(`adapter/${target.adapter}`);
  }
}
