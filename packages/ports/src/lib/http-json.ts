import { Agent } from 'undici';
import verror from 'verror';

const CONNECTION_COUNT = 8;

/** JSON over HTTP to one service of the platform, with a time limit on each call. */
export class HttpJson {
  readonly #origin: string;
  readonly #timeoutMs: number;
  readonly #agent: Agent;

  /**
   * @param origin - such as `http://127.0.0.1:7800`
   * @param timeoutMs - limit of each call, in milliseconds
   */
  constructor(origin: string, timeoutMs: number) {
    this.#origin = origin;
    this.#timeoutMs = timeoutMs;
    this.#agent = new Agent({ connections: CONNECTION_COUNT, connect: { timeout: timeoutMs } });
  }

  /**
   * @param method - HTTP method
   * @param path - path with query
   * @param body - value of JSON's kinds, for `POST`
   * @returns the answer's body
   * @throws VError named `PlatformError` for any status but 200, a time-out or a lost connection
   */
  async call<T>(method: 'GET' | 'POST', path: string, body?: unknown): Promise<T> {
    try {
      const answer = await this.#agent.request({
        origin: this.#origin,
        method,
        path,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const value = (await answer.body.json()) as T;
      if (answer.statusCode === 200) return value;
      throw new verror.VError('status %d', answer.statusCode);
    } catch (error) {
      const cause = error as Error;
      throw new verror.VError({ name: 'PlatformError', cause }, '%s %s failed', method, path);
    }
  }

  /** Closes the connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
