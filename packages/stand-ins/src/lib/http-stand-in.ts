import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import findMyWay from 'find-my-way';

type Router = findMyWay.Instance<findMyWay.HTTPVersion.V1>;
type Params = Readonly<Record<string, string | undefined>>;

/** An HTTP request with its response and the parameters of its URL. */
interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Parameters from the path pattern. */
  readonly params: Params;
  readonly query: Params;
}

type ExchangeHandler = (exchange: Exchange) => void | Promise<void>;

/** Base of the stand-ins: an HTTP server on loopback with routes. */
export class HttpStandIn {
  readonly #router: Router = findMyWay({
    defaultRoute: (_request, response) => HttpStandIn.reply(response, 404, {}),
  });

  readonly #server: Server = createServer((request, response) => {
    this.#router.lookup(request, response);
  });

  #host = '127.0.0.1';
  #port = 0;

  /** Base URL of the stand-in once it listens. */
  get url(): string {
    return `http://${this.#host}:${this.#port}`;
  }

  /**
   * Sends a JSON response.
   *
   * @param response - the response to end
   * @param status - HTTP status
   * @param body - value to encode as JSON
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
   * Reads the JSON body of a request.
   *
   * @param request - the request
   * @returns the value, or an empty object when the body is empty
   * @throws SyntaxError when the body is not JSON
   */
  static async readJson<T>(request: IncomingMessage): Promise<T> {
    const parts: Buffer[] = [];
    // eslint-disable-next-line no-restricted-syntax -- a stream is read in order
    for await (const part of request) parts.push(part as Buffer);
    const text = Buffer.concat(parts).toString();
    return (text === '' ? {} : JSON.parse(text)) as T;
  }

  /**
   * Adds a route. When its handler fails before it answers, the request is answered with status 400.
   *
   * @param method - HTTP method, or `ALL`
   * @param path - path pattern of find-my-way
   * @param handler - answers the request
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
   * @param port - port, or 0 for any free one
   * @param host - IP address
   */
  async listen(port = 0, host = '127.0.0.1'): Promise<void> {
    this.#host = host;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  /** Stops at once and closes every connection, as a killed process does. */
  kill(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
