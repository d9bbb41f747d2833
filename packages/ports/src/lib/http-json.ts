import { readBody } from '@chervilseam/model';
import { Agent } from 'undici';
import verror from 'verror';

/** Maximum number of open connections. */
const CONNECTION_COUNT_MAX = 8;
/** Largest answer that is read, in bytes. */
const ANSWER_BYTES_MAX = 16 * 1024 * 1024;

/** Client of one service of the platform: JSON over HTTP, with a timeout for each call. */
export class HttpJson {
  readonly #origin: string;
  readonly #timeoutMs: number;
  readonly #agent: Agent;

  /**
   * @param origin - scheme, host and port of the service, such as `http://127.0.0.1:7800`
   * @param timeoutMs - longest time of a call, in milliseconds
   */
  constructor(origin: string, timeoutMs: number) {
    this.#origin = origin;
    this.#timeoutMs = timeoutMs;
    this.#agent = new Agent({
      connections: CONNECTION_COUNT_MAX,
      connect: { timeout: timeoutMs },
      maxResponseSize: ANSWER_BYTES_MAX,
    });
  }

  /**
   * @param method - HTTP method
   * @param path - path with query
   * @param body - JSON value to send, for `POST`
   * @returns the parsed body of the answer
   * @throws VError named `PlatformError` after a timeout, a lost connection or any status but 200
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
      const bytes = await readBody(answer.body, { bytesMax: ANSWER_BYTES_MAX });
      if (answer.statusCode === 200) return JSON.parse(bytes.toString()) as T;
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
