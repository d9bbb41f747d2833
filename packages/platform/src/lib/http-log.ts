import { HttpJson } from './http-json.js';
import type { LogPage } from './log-page.js';
import type { LogPort } from './log-port.js';

/** The platform's log over HTTP. */
export class HttpLog implements LogPort {
  readonly #http: HttpJson;

  /**
   * @param origin - where the log listens
   * @param timeoutMs - limit of each call, in milliseconds
   */
  constructor(origin: string, timeoutMs: number) {
    this.#http = new HttpJson(origin, timeoutMs);
  }

  async append(stream: string, values: readonly unknown[]): Promise<number> {
    const path = `/log/${encodeURIComponent(stream)}`;
    const answer = await this.#http.call<{ firstOffset: number }>('POST', path, {
      records: values,
    });
    return answer.firstOffset;
  }

  read(stream: string, fromOffset: number, limit: number): Promise<LogPage> {
    const path = `/log/${encodeURIComponent(stream)}?from=${fromOffset}&limit=${limit}`;
    return this.#http.call<LogPage>('GET', path);
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.#http.close();
  }
}
