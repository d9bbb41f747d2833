import type { RouteSpec, ServingConfig } from '@chervilseam/model';

const PORT_SUFFIX = /:\d+$/;

/** Finds the route of a request by its host and the longest matching path prefix. */
export class RouteIndex {
  readonly #byHost = new Map<string, RouteSpec[]>();

  /** @param config - configuration whose routes are indexed */
  constructor({ routes }: Pick<ServingConfig, 'routes'>) {
    routes.forEach((route) => {
      const host = route.host.toLowerCase();
      const routesOfHost = this.#byHost.get(host);
      if (routesOfHost) routesOfHost.push(route);
      else this.#byHost.set(host, [route]);
    });
    this.#byHost.forEach((list) => {
      list.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    });
  }

  /**
   * @param host - the request's host, with or without a port
   * @param path - the request's path, with or without a query
   * @returns the route, or `undefined` when none matches
   */
  match(host: string, path: string): RouteSpec | undefined {
    const name = host.toLowerCase().replace(PORT_SUFFIX, '');
    const queryAt = path.indexOf('?');
    const pathname = queryAt < 0 ? path : path.slice(0, queryAt);
    return this.#byHost.get(name)?.find(({ pathPrefix }) => pathname.startsWith(pathPrefix));
  }
}
