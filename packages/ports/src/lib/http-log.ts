import verror from 'verror';
import { HttpJson } from './http-json.js';
import type { LogPage } from './log-page.js';
import type { LogPort } from './log-port.js';

/** Reads and appends to the platform's log over HTTP. */
export class HttpLog implements LogPort {
  /** Makes every call fail at once, as during a network partition; for tests. */
  isBlocked = false;
  readonly #http: HttpJson;

  /**
   * @param origin - scheme, host and port of the log service, such as `http://127.0.0.1:7800`
   * @param timeoutMs - longest time of a call, in milliseconds
   */
  constructor(origin: string, timeoutMs: number) {
    this.#http = new HttpJson(origin, timeoutMs);
  }

  async append(stream: string, values: readonly unknown[]): Promise<number> {
    this.#throwIfBlocked();
    const path = `/log/${encodeURIComponent(stream)}`;
    const answer = await this.#http.call<{ firstOffset: number }>('POST', path, {
      records: values,
    });
    return answer.firstOffset;
  }

  async read(stream: string, fromOffset: number, limit: number): Promise<LogPage> {
    this.#throwIfBlocked();
    const path = `/log/${encodeURIComponent(stream)}?from=${fromOffset}&limit=${limit}`;
    return this.#http.call<LogPage>('GET', path);
  }

  #throwIfBlocked(): void {
    if (this.isBlocked) throw new verror.VError({ name: 'PlatformError' }, 'blocked for a test');
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.#http.close();
  }
}
