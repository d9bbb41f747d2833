import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import findMyWay from 'find-my-way';

type Router = findMyWay.Instance<findMyWay.HTTPVersion.V1>;
type Params = Readonly<Record<string, string | undefined>>;

/** One exchange of a stand-in. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly params: Params;
  readonly query: Params;
}

type ExchangeHandler = (exchange: Exchange) => void | Promise<void>;

/** An HTTP server on loopback with routes, for stand-ins. */
export class HttpStandIn {
  readonly #router: Router = findMyWay({
    defaultRoute: (_request, response) => HttpStandIn.reply(response, 404, {}),
  });

  readonly #server: Server = createServer((request, response) => {
    this.#router.lookup(request, response);
  });

  #host = '127.0.0.1';
  #port = 0;

  /** Address to reach the stand-in at. */
  get url(): string {
    return `http://${this.#host}:${this.#port}`;
  }

  /**
   * Sends a JSON answer.
   *
   * @param response - the response to end
   * @param status - HTTP status
   * @param body - value of JSON's kinds
   * @param headers - further headers
   */
  static reply(
    response: ServerResponse,
    status: number,
    body: unknown,
    headers: Record<string, string> = {},
  ): void {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...headers,
    });
    response.end(text);
  }

  /**
   * Reads a JSON body.
   *
   * @param request - the request
   * @returns its body, or an empty object when there is none
   */
  static async readJson<T>(request: IncomingMessage): Promise<T> {
    const parts: Buffer[] = [];
    // eslint-disable-next-line no-restricted-syntax -- a stream is read in order
    for await (const part of request) parts.push(part as Buffer);
    const text = Buffer.concat(parts).toString();
    return (text === '' ? {} : JSON.parse(text)) as T;
  }

  /**
   * Adds a route.
   *
   * @param method - HTTP method, or `ALL`
   * @param path - path pattern of find-my-way
   * @param handler - answers the exchange
   */
  route(method: 'GET' | 'POST' | 'ALL', path: string, handler: ExchangeHandler): void {
    const run = (
      request: unknown,
      response: unknown,
      params: Params,
      _store: unknown,
      query: Params,
    ): void => {
      const exchange = { request, response, params, query } as Exchange;
      Promise.resolve(handler(exchange)).catch((error: Error) => {
        if (!exchange.response.headersSent) {
          HttpStandIn.reply(exchange.response, 400, { error: error.message });
        }
      });
    };
    if (method === 'ALL') this.#router.all(path, run);
    else this.#router.on(method, path, run);
  }

  /**
   * Starts to listen.
   *
   * @param port - port, or 0 for any
   * @param host - IP number
   */
  async listen(port = 0, host = '127.0.0.1'): Promise<void> {
    this.#host = host;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Stops at once and cuts every connection, as a killed process does. */
  kill(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
