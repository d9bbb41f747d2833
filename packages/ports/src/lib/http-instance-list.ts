import { HttpJson } from './http-json.js';
import type { InstanceListPort } from './instance-list-port.js';
import type { ListedInstance } from './listed-instance.js';

/** The platform's list of instances over HTTP. */
export class HttpInstanceList implements InstanceListPort {
  readonly #http: HttpJson;

  /**
   * @param origin - where the list is served
   * @param timeoutMs - limit of each call, in milliseconds
   */
  constructor(origin: string, timeoutMs: number) {
    this.#http = new HttpJson(origin, timeoutMs);
  }

  async list(): Promise<readonly ListedInstance[]> {
    const answer = await this.#http.call<{ instances: ListedInstance[] }>('GET', '/instances');
    return answer.instances;
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.#http.close();
  }
}
