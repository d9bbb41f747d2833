import { HttpJson } from './http-json.js';
import type { InstanceListPort } from './instance-list-port.js';
import type { ListedInstance } from './listed-instance.js';

/** Reads the platform's list of instances over HTTP. */
export class HttpInstanceList implements InstanceListPort {
  readonly #http: HttpJson;

  /**
   * @param origin - scheme, host and port of the service, such as `http://127.0.0.1:7800`
   * @param timeoutMs - longest time of a call, in milliseconds
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
