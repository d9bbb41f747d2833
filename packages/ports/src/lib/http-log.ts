import verror from 'verror';
import { HttpJson } from './http-json.js';
import type { LogPage } from './log-page.js';
import type { LogPort } from './log-port.js';

/** The platform's log over HTTP. */
export class HttpLog implements LogPort {
  /** Makes every call fail at once; for tests of cuts. */
  isBlocked = false;
  readonly #http: HttpJson;

  /**
   * @param origin - where the log listens
   * @param timeoutMs - limit of each call, in milliseconds
   */
  constructor(origin: string, timeoutMs: number) {
    this.#http = new HttpJson(origin, timeoutMs);
  }

  async append(stream: string, values: readonly unknown[]): Promise<number> {
    this.#guard();
    const path = `/log/${encodeURIComponent(stream)}`;
    const answer = await this.#http.call<{ firstOffset: number }>('POST', path, {
      records: values,
    });
    return answer.firstOffset;
  }

  async read(stream: string, fromOffset: number, limit: number): Promise<LogPage> {
    this.#guard();
    const path = `/log/${encodeURIComponent(stream)}?from=${fromOffset}&limit=${limit}`;
    return this.#http.call<LogPage>('GET', path);
  }

  #guard(): void {
    if (this.isBlocked) throw new verror.VError({ name: 'PlatformError' }, 'cut off from the log');
  }

  /** Closes the connections. */
  close(): Promise<void> {
    return this.#http.close();
  }
}
